//! A version of a service, as its publisher proposes it.

use crate::Promise;
use prost_reflect::{DescriptorPool, ServiceDescriptor};
use std::collections::BTreeMap;

/// The maximum length of an encoded descriptor set.
pub const MAX_DESCRIPTOR_BYTES: usize = 1 << 20;

/// The forms of messages that have to stay compatible.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum CompatibilityLevel {
    /// The binary form.
    Wire,
    /// The binary, JSON and text forms.
    WireAndJson,
}

/// Why a version is not accepted.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error, miette::Diagnostic)]
pub enum VersionError {
    /// The descriptor set is too long. Holds its length in bytes.
    #[error("descriptors: expected at most {MAX_DESCRIPTOR_BYTES} bytes, found {0}")]
    #[diagnostic(
        code(chalkdeck::contract::too_long),
        help("leave out files that the service does not import, and source info")
    )]
    TooLong(usize),
    /// The descriptor set cannot be decoded, or imported files are missing. Holds the reason.
    #[error("descriptors: {0}")]
    #[diagnostic(
        code(chalkdeck::contract::descriptors),
        help("give a FileDescriptorSet with all imported files, as `protoc --include_imports --descriptor_set_out` writes it")
    )]
    InvalidDescriptors(String),
    /// The descriptor set does not contain the service. Holds the service's name.
    #[error("service: '{0}' is not in the descriptors")]
    #[diagnostic(
        code(chalkdeck::contract::service),
        help("give the service's full name, with its package")
    )]
    UnknownService(String),
    /// There is a promise for a method that the service does not have. Holds the method's name.
    #[error("promises: '{0}' is no method of the service")]
    #[diagnostic(
        code(chalkdeck::contract::method),
        help("name each method as the service does, without its package")
    )]
    UnknownMethod(String),
    /// There is no promise for a method of the service. Holds the method's name.
    #[error("promises: expected one for '{0}'")]
    #[diagnostic(code(chalkdeck::contract::promise), help("say of each method what its class is: effect, group and window of keys, aim, deadline, units, worth"))]
    MissingPromise(String),
}

/// A version of a service.
#[derive(Clone, Debug)]
pub struct ServiceVersion {
    /// The version's name, as endpoints announce it and callers send it.
    pub name: String,
    /// The descriptor of the service.
    pub service: ServiceDescriptor,
    /// The promise for each method, by the method's name.
    pub promises: BTreeMap<String, Promise>,
}

impl ServiceVersion {
    /// Decodes a version and checks that there is a promise for each method and for nothing else.
    ///
    /// # Errors
    /// See [`VersionError`].
    pub fn parse(
        name: &str,
        service: &str,
        descriptors: &[u8],
        promises: BTreeMap<String, Promise>,
    ) -> Result<ServiceVersion, VersionError> {
        if descriptors.len() > MAX_DESCRIPTOR_BYTES {
            return Err(VersionError::TooLong(descriptors.len()));
        }
        let pool = DescriptorPool::decode(descriptors)
            .map_err(|error| VersionError::InvalidDescriptors(error.to_string()))?;
        let service = pool
            .get_service_by_name(service)
            .ok_or_else(|| VersionError::UnknownService(service.to_string()))?;
        let methods: Vec<String> = service
            .methods()
            .map(|method| method.name().to_string())
            .collect();
        if let Some(unknown) = promises.keys().find(|method| !methods.contains(method)) {
            return Err(VersionError::UnknownMethod(unknown.clone()));
        }
        if let Some(missing) = methods
            .iter()
            .find(|method| !promises.contains_key(*method))
        {
            return Err(VersionError::MissingPromise(missing.clone()));
        }
        Ok(ServiceVersion {
            name: name.to_string(),
            service,
            promises,
        })
    }
}
