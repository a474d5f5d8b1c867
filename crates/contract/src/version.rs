//! A version of a service as its publisher proposes it.

use crate::promise::Promise;
use prost_reflect::{DescriptorPool, ServiceDescriptor};
use std::collections::BTreeMap;

/// Bytes of one set of descriptors.
pub const MOST_BYTES: usize = 1 << 20;

/// How much has to stay as it was.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Level {
    /// Binary messages.
    Wire,
    /// Binary messages, and their JSON and text forms.
    WireAndJson,
}

/// Why a version is not taken.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error, miette::Diagnostic)]
pub enum VersionError {
    /// Too long.
    #[error("descriptors: expected at most {MOST_BYTES} bytes, found {0}")]
    #[diagnostic(
        code(chalkdeck::contract::too_long),
        help("leave out files that the service does not import, and source info")
    )]
    TooLong(usize),
    /// Not descriptors, or not all that they need.
    #[error("descriptors: {0}")]
    #[diagnostic(
        code(chalkdeck::contract::descriptors),
        help("give a FileDescriptorSet with all imported files, as `protoc --include_imports --descriptor_set_out` writes it")
    )]
    Descriptors(String),
    /// No such service.
    #[error("service: '{0}' is not in the descriptors")]
    #[diagnostic(
        code(chalkdeck::contract::service),
        help("give the service's full name, with its package")
    )]
    Service(String),
    /// A promise of nothing.
    #[error("promises: '{0}' is no method of the service")]
    #[diagnostic(
        code(chalkdeck::contract::method),
        help("name each method as the service does, without its package")
    )]
    Method(String),
    /// Nothing is promised of a method.
    #[error("promises: expected one for '{0}'")]
    #[diagnostic(code(chalkdeck::contract::promise), help("say of each method what its class is: effect, group and window of keys, aim, deadline, units, worth"))]
    Promise(String),
}

/// A version, read.
#[derive(Clone, Debug)]
pub struct Version {
    /// Its name, as servers and callers tell it.
    pub name: String,
    /// The service.
    pub service: ServiceDescriptor,
    /// What is promised, by method.
    pub promises: BTreeMap<String, Promise>,
}

impl Version {
    /// Reads a version. Errors: see [`VersionError`].
    pub fn read(
        name: &str,
        service: &str,
        descriptors: &[u8],
        promises: BTreeMap<String, Promise>,
    ) -> Result<Version, VersionError> {
        if descriptors.len() > MOST_BYTES {
            return Err(VersionError::TooLong(descriptors.len()));
        }
        let pool = DescriptorPool::decode(descriptors)
            .map_err(|e| VersionError::Descriptors(e.to_string()))?;
        let found = pool.get_service_by_name(service);
        let service = found.ok_or_else(|| VersionError::Service(service.to_string()))?;
        let methods: Vec<String> = service.methods().map(|m| m.name().to_string()).collect();
        if let Some(none) = promises.keys().find(|p| !methods.contains(p)) {
            return Err(VersionError::Method(none.clone()));
        }
        if let Some(missing) = methods.iter().find(|m| !promises.contains_key(*m)) {
            return Err(VersionError::Promise(missing.clone()));
        }
        Ok(Version {
            name: name.to_string(),
            service,
            promises,
        })
    }
}
