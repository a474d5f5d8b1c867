//! Table of all endpoints, ordered by id.

use super::Endpoint;
use crate::api::{EndpointEntry, EndpointId, EndpointState, Timestamp};
use rustc_hash::FxHashMap;
use std::net::SocketAddr;

/// The endpoints, with an index of those in service.
#[derive(Debug, Default)]
pub(crate) struct EndpointTable {
    endpoints: Vec<Endpoint>,
    /// Positions of the endpoints in service, in an order that is the same on all gateways.
    in_service: Vec<usize>,
    /// The endpoint that was listed last at each address.
    address_owners: FxHashMap<SocketAddr, EndpointId>,
    /// Number of endpoints in slow start.
    pub(crate) slow_start_count: usize,
    /// Attempts in flight at all endpoints.
    pub(crate) in_flight: f64,
    /// The last computed sum of concurrency limits.
    pub(crate) limit_sum: LimitSum,
}

/// A sum of concurrency limits, and when it was computed.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct LimitSum {
    pub(crate) computed_at: Timestamp,
    pub(crate) limit: f64,
}

impl EndpointTable {
    fn position(&self, id: EndpointId) -> Result<usize, usize> {
        self.endpoints
            .binary_search_by_key(&id, |endpoint| endpoint.id)
    }

    /// Returns an endpoint by its id.
    pub(crate) fn get(&self, id: EndpointId) -> Option<&Endpoint> {
        let position = self.position(id).ok()?;
        Some(&self.endpoints[position])
    }

    /// Returns an endpoint by its id, mutably.
    pub(crate) fn get_mut(&mut self, id: EndpointId) -> Option<&mut Endpoint> {
        let position = self.position(id).ok()?;
        Some(&mut self.endpoints[position])
    }

    /// Returns an endpoint by its id, inserting it if it is missing. The caller must call
    /// [`EndpointTable::refresh`] afterwards.
    pub(crate) fn get_or_insert(&mut self, id: EndpointId) -> &mut Endpoint {
        let position = match self.position(id) {
            Ok(position) => position,
            Err(position) => {
                self.endpoints.insert(position, Endpoint::new(id));
                position
            }
        };
        &mut self.endpoints[position]
    }

    /// Applies an entry to its endpoint, which must be in the table, except for its start time.
    pub(crate) fn apply_entry(&mut self, entry: &EndpointEntry) {
        if let Some(address) = entry.address {
            self.register_address(address, entry);
        }
        if let Some(endpoint) = self.get_mut(entry.endpoint) {
            endpoint.apply_entry(entry);
        }
    }

    /// Records which endpoint an address belongs to. An endpoint that takes an address from another
    /// one is registered anew.
    fn register_address(&mut self, address: SocketAddr, entry: &EndpointEntry) {
        let id = entry.endpoint;
        if entry.state == EndpointState::Removed {
            if self.address_owners.get(&address) == Some(&id) {
                self.address_owners.remove(&address);
            }
            return;
        }
        let previous = self.address_owners.insert(address, id);
        if previous.is_some_and(|previous| previous != id) {
            if let Some(endpoint) = self.get_mut(id) {
                endpoint.registration += 1;
            }
        }
    }

    /// Whether the list names the endpoint, and no other one at its address.
    pub(crate) fn is_registered(&self, endpoint: &Endpoint) -> bool {
        let owner = endpoint
            .address
            .map(|address| self.address_owners.get(&address));
        endpoint.is_listed && owner.is_none_or(|owner| owner == Some(&endpoint.id))
    }

    /// Takes endpoints that a complete list does not name off the list. `named` are the others, in
    /// order.
    pub(crate) fn remove_unnamed(&mut self, named: &[EndpointId]) {
        for endpoint in &mut self.endpoints {
            if named.binary_search(&endpoint.id).is_err() {
                endpoint.is_in_service = false;
                endpoint.is_listed = false;
            }
        }
    }

    /// Iterates over all endpoints.
    pub(crate) fn iter(&self) -> impl Iterator<Item = &Endpoint> {
        self.endpoints.iter()
    }

    /// Iterates over all endpoints, mutably.
    pub(crate) fn iter_mut(&mut self) -> impl Iterator<Item = &mut Endpoint> {
        self.endpoints.iter_mut()
    }

    /// Number of endpoints in service.
    pub(crate) fn in_service_count(&self) -> usize {
        self.in_service.len()
    }

    /// The endpoint in service at an index of the shared order.
    pub(crate) fn in_service_at(&self, index: usize) -> &Endpoint {
        &self.endpoints[self.in_service[index]]
    }

    /// The endpoints in service, in the shared order.
    pub(crate) fn in_service(&self) -> impl Iterator<Item = &Endpoint> {
        self.in_service
            .iter()
            .map(|&position| &self.endpoints[position])
    }

    /// The endpoints in service in the shared order, from index `start` and wrapping around to the
    /// one before it.
    pub(crate) fn in_service_from(&self, start: usize) -> impl Iterator<Item = &Endpoint> {
        let (before, from_start) = self.in_service.split_at(start);
        from_start
            .iter()
            .chain(before)
            .map(|&position| &self.endpoints[position])
    }

    /// Recomputes the state that is derived from the endpoints and their service state.
    pub(crate) fn refresh(&mut self) {
        self.in_service = (0..self.endpoints.len())
            .filter(|&position| self.endpoints[position].is_in_service)
            .collect();
        self.slow_start_count = self
            .iter()
            .filter(|endpoint| endpoint.slow_start_since.is_some())
            .count();
        self.limit_sum = LimitSum::default();
    }
}
