//! Prints an error of a command: the message, its code, and a help text for the operator.

use crate::errors::{ProposalError, ProposedContractError};
use chalkdeck_coordinator::client::ClientError;
use chalkdeck_coordinator::server::ServerError;
use chalkdeck_coordinator::settings::SettingsError;
use chalkdeck_resp_gateway::{ConfigError, StartError};
use miette::Diagnostic;
use std::fmt::{Display, Formatter};
use std::io;

/// Why a command failed.
pub enum Failure {
    /// An error with a code and a help text.
    Diagnostic(Box<dyn Diagnostic>),
    /// Any other error.
    Other(anyhow::Error),
}

impl From<anyhow::Error> for Failure {
    fn from(error: anyhow::Error) -> Failure {
        match error.downcast::<chalkdeck_grpc_gateway::StartError>() {
            Ok(start_error) => Failure::Diagnostic(Box::new(start_error)),
            Err(error) => Failure::Other(error),
        }
    }
}
impl From<io::Error> for Failure {
    fn from(error: io::Error) -> Failure {
        Failure::Other(error.into())
    }
}
macro_rules! impl_from_diagnostics {
    ($($error:ty),*) => {$(
        impl From<$error> for Failure {
            fn from(error: $error) -> Failure {
                Failure::Diagnostic(Box::new(error))
            }
        }
    )*};
}
impl_from_diagnostics!(
    ConfigError,
    StartError,
    ClientError,
    ServerError,
    SettingsError,
    ProposalError,
    ProposedContractError
);

/// The outermost error in the chain that has a code, or the innermost error if none has one.
fn outermost_error_with_code(error: &dyn Diagnostic) -> &dyn Diagnostic {
    match error.diagnostic_source() {
        Some(source) if error.code().is_none() => outermost_error_with_code(source),
        _ => error,
    }
}

impl Display for Failure {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        match self {
            Failure::Other(error) => write!(f, "error: {error:#}"),
            Failure::Diagnostic(error) => {
                write!(f, "error: {error}")?;
                let coded_error = outermost_error_with_code(error.as_ref());
                if let Some(code) = coded_error.code() {
                    write!(f, "\n  code: {code}")?;
                }
                if let Some(help) = coded_error.help() {
                    write!(f, "\n  help: {help}")?;
                }
                Ok(())
            }
        }
    }
}
