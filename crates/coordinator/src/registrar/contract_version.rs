//! Conversion of a contract to the form that the compatibility check uses.

use crate::protocol::wire;
use chalkdeck_contract::{Idempotency, KeyScope, Promise, ServiceVersion, VersionError};
use std::collections::BTreeMap;
use wire::promise::{Effect as WireEffect, Group as WireGroup};

/// Why a contract is invalid by itself.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error, miette::Diagnostic)]
pub enum ContractError {
    /// A promise does not specify its effect.
    #[error("promises: {0}: effect: expected SAFE, KEYED or UNSAFE")]
    #[diagnostic(
        code(chalkdeck::contract::effect),
        help("say whether a call may be repeated: as it is, under a key, or not at all")
    )]
    MissingEffect(String),
    /// A promise has units, a value or times out of range.
    #[error("promises: {0}: expected units and a deadline above 0, and an aim within it")]
    #[diagnostic(
        code(chalkdeck::contract::figures),
        help("take them from the class and route that the method has in the gateways' settings")
    )]
    InvalidFigures(String),
    /// A method has two promises.
    #[error("promises: {0}: expected once")]
    #[diagnostic(code(chalkdeck::contract::twice), help("one promise for each method"))]
    DuplicatePromise(String),
    /// See [`VersionError`].
    #[error(transparent)]
    #[diagnostic(transparent)]
    Version(#[from] VersionError),
}

/// Converts a contract to the form that the compatibility check uses.
///
/// # Errors
/// See [`ContractError`].
pub fn contract_version(contract: &wire::Contract) -> Result<ServiceVersion, ContractError> {
    let mut promises = BTreeMap::new();
    for promise in &contract.promises {
        let method = promise.method.clone();
        let replaced = promises.insert(method, promise_from_wire(promise)?);
        if replaced.is_some() {
            return Err(ContractError::DuplicatePromise(promise.method.clone()));
        }
    }
    Ok(ServiceVersion::parse(
        &contract.version,
        &contract.service,
        &contract.descriptors,
        promises,
    )?)
}

fn promise_from_wire(promise: &wire::Promise) -> Result<Promise, ContractError> {
    let idempotency = idempotency_from_wire(promise)?;
    check_figures(promise)?;
    Ok(Promise {
        idempotency,
        key_scope: match promise.group() {
            WireGroup::All => KeyScope::All,
            WireGroup::Zone => KeyScope::Zone,
            WireGroup::Cell | WireGroup::Unspecified => KeyScope::Cell,
        },
        key_window_ms: promise.window_ms,
        latency_objective_ms: if promise.aim_ms == 0 {
            promise.deadline_ms
        } else {
            promise.aim_ms
        },
        deadline_ms: promise.deadline_ms,
        units: promise.units,
        priority_weight: promise.worth,
    })
}

fn idempotency_from_wire(promise: &wire::Promise) -> Result<Idempotency, ContractError> {
    match promise.effect() {
        WireEffect::Safe => Ok(Idempotency::Idempotent),
        WireEffect::Keyed => Ok(Idempotency::Keyed),
        WireEffect::Unsafe => Ok(Idempotency::NonIdempotent),
        WireEffect::Unspecified => Err(ContractError::MissingEffect(promise.method.clone())),
    }
}

fn check_figures(promise: &wire::Promise) -> Result<(), ContractError> {
    let has_valid_units = promise.units.is_finite() && promise.units > 0.0;
    let has_valid_value = promise.worth.is_finite() && promise.worth >= 0.0;
    let has_valid_times = promise.deadline_ms > 0 && promise.aim_ms <= promise.deadline_ms;
    if has_valid_units && has_valid_value && has_valid_times {
        return Ok(());
    }
    Err(ContractError::InvalidFigures(promise.method.clone()))
}
