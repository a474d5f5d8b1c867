//! One simulated gateway: its decision engine, and the mappings from names on the wire to ids of the
//! engine.

use crate::fields::{Fields, Result};
use crate::settings::{self, endpoint_id, NamedSettings};
use crate::WireError;
use chalkdeck::api::{Class, EndpointId};
use chalkdeck::DecisionEngine;
use std::collections::HashMap;

/// Addresses of the endpoints by endpoint id.
#[derive(Default)]
pub(crate) struct EndpointAddresses(HashMap<EndpointId, String>);

impl EndpointAddresses {
    /// Returns the id of an address and stores the address. The id is the hash of the address, or the
    /// next free id if another address has the same hash.
    pub(crate) fn register(&mut self, address: &str) -> EndpointId {
        let mut id = endpoint_id(address);
        while self.0.get(&id).is_some_and(|known| known != address) {
            id = EndpointId(id.0.wrapping_add(1));
        }
        self.0.entry(id).or_insert_with(|| address.to_string());
        id
    }

    /// Returns the address of an endpoint, or an empty string if the endpoint is unknown.
    pub(crate) fn address(&self, id: EndpointId) -> &str {
        self.0.get(&id).map_or("", String::as_str)
    }
}

/// A gateway that the simulator runs.
pub(crate) struct SimulatedGateway {
    pub(crate) engine: DecisionEngine,
    pub(crate) addresses: EndpointAddresses,
    /// Indices of the classes by name.
    pub(crate) class_indices: HashMap<String, usize>,
    /// Indices of the plans by name.
    pub(crate) plan_indices: HashMap<String, usize>,
    /// Zone numbers by name.
    pub(crate) zone_numbers: HashMap<String, u32>,
    /// The classes of the settings, by index.
    pub(crate) classes: Vec<Class>,
}

impl SimulatedGateway {
    /// Creates a gateway with the settings of a `START` line.
    pub(crate) fn start(fields: &Fields) -> Result<SimulatedGateway> {
        let seed = fields.required_u64("rng_seed")?;
        let NamedSettings {
            settings,
            class_indices,
            plan_indices,
            zone_numbers,
        } = settings::parse_fields(fields)?;
        let classes = settings.classes.clone();
        let engine =
            DecisionEngine::new(seed, settings).map_err(|reason| WireError::InvalidSettings {
                line: fields.line_number,
                reason,
            })?;
        Ok(SimulatedGateway {
            engine,
            addresses: EndpointAddresses::default(),
            class_indices,
            plan_indices,
            zone_numbers,
            classes,
        })
    }
}
