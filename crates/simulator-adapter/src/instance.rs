//! One gateway of the simulator, with the names by which the wire knows what it is told of.

use crate::fields::{Fields, Result};
use crate::settings::{self, endpoint_id, NamedSettings};
use crate::WireError;
use chalkdeck::api::{Class, EndpointId};
use chalkdeck::DecisionEngine;
use std::collections::HashMap;

/// Addresses of the endpoints by their ids.
#[derive(Default)]
pub(crate) struct EndpointAddresses(HashMap<EndpointId, String>);

impl EndpointAddresses {
    /// The id of an address: its hash, or the next free one if another address has that.
    pub(crate) fn id(&mut self, address: &str) -> EndpointId {
        let mut id = endpoint_id(address);
        while self.0.get(&id).is_some_and(|known| known != address) {
            id = EndpointId(id.0.wrapping_add(1));
        }
        self.0.entry(id).or_insert_with(|| address.to_string());
        id
    }

    /// The address of an endpoint; empty if it is not known.
    pub(crate) fn address(&self, id: EndpointId) -> &str {
        self.0.get(&id).map_or("", String::as_str)
    }
}

/// One gateway.
pub(crate) struct Instance {
    pub(crate) engine: DecisionEngine,
    pub(crate) addresses: EndpointAddresses,
    /// Indices of the classes by their names.
    pub(crate) class_indices: HashMap<String, usize>,
    /// Indices of the plans by their names.
    pub(crate) plan_indices: HashMap<String, usize>,
    /// Numbers of the zones by their names.
    pub(crate) zones: HashMap<String, u32>,
    pub(crate) classes: Vec<Class>,
}

impl Instance {
    /// A gateway that starts with the settings of a `START` line.
    pub(crate) fn start(fields: &Fields) -> Result<Instance> {
        let seed = fields.whole("rng_seed")?;
        let NamedSettings {
            settings,
            classes: class_indices,
            plans: plan_indices,
            zones,
        } = settings::read(fields)?;
        let classes = settings.classes.clone();
        let engine = DecisionEngine::new(seed, settings).map_err(|reason| WireError::Settings {
            line: fields.line,
            reason,
        })?;
        Ok(Instance {
            engine,
            addresses: EndpointAddresses::default(),
            class_indices,
            plan_indices,
            zones,
            classes,
        })
    }
}
