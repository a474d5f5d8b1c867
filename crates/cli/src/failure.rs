//! How the program tells of an error: what is wrong, its code, and what an operator can do.

use crate::contract::ContractError;
use crate::rules::RulesError;
use chalkdeck_coordinator::client::ClientError;
use chalkdeck_coordinator::server::ServerError;
use chalkdeck_coordinator::settings::SettingsError;
use chalkdeck_resp_gateway::{ConfigError, StartError};
use miette::Diagnostic;
use std::fmt::{Display, Formatter};
use std::io;

/// Why a command ended in failure.
pub enum Failure {
    /// An error with a code and a help.
    Told(Box<dyn Diagnostic>),
    /// Any other.
    Other(anyhow::Error),
}

impl From<anyhow::Error> for Failure {
    fn from(error: anyhow::Error) -> Failure {
        match error.downcast::<chalkdeck_grpc_gateway::StartError>() {
            Ok(start) => Failure::Told(Box::new(start)),
            Err(error) => Failure::Other(error),
        }
    }
}
impl From<io::Error> for Failure {
    fn from(error: io::Error) -> Failure {
        Failure::Other(error.into())
    }
}
macro_rules! told {
    ($($error:ty),*) => {$(
        impl From<$error> for Failure {
            fn from(error: $error) -> Failure {
                Failure::Told(Box::new(error))
            }
        }
    )*};
}
told!(
    ConfigError,
    StartError,
    ClientError,
    ServerError,
    SettingsError,
    RulesError,
    ContractError
);

/// The error itself, or the one within it that has a code.
fn coded(error: &dyn Diagnostic) -> &dyn Diagnostic {
    match error.diagnostic_source() {
        Some(within) if error.code().is_none() => coded(within),
        _ => error,
    }
}

impl Display for Failure {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        match self {
            Failure::Other(error) => write!(f, "error: {error:#}"),
            Failure::Told(error) => {
                write!(f, "error: {error}")?;
                let within = coded(error.as_ref());
                within
                    .code()
                    .into_iter()
                    .try_for_each(|code| write!(f, "\n  code: {code}"))?;
                within
                    .help()
                    .into_iter()
                    .try_for_each(|help| write!(f, "\n  help: {help}"))
            }
        }
    }
}
