//! All endpoints in the order of their ids.

use super::Endpoint;
use crate::api::{EndpointId, Timestamp};

/// The endpoints, and which of them are in service.
#[derive(Debug, Default)]
pub(crate) struct EndpointTable {
    endpoints: Vec<Endpoint>,
    /// Positions of the endpoints in service, in an order that all gateways share.
    in_service: Vec<usize>,
    /// Number of endpoints in slow start.
    pub(crate) slow_starts: usize,
    /// Attempts in flight at all endpoints.
    pub(crate) in_flight: f64,
    /// The sum of concurrency limits that was taken last.
    pub(crate) limit_sum: LimitSum,
}

/// A sum of concurrency limits and when it was taken.
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

    /// An endpoint by its id.
    pub(crate) fn get(&self, id: EndpointId) -> Option<&Endpoint> {
        let position = self.position(id).ok()?;
        Some(&self.endpoints[position])
    }

    /// An endpoint by its id, to change.
    pub(crate) fn get_mut(&mut self, id: EndpointId) -> Option<&mut Endpoint> {
        let position = self.position(id).ok()?;
        Some(&mut self.endpoints[position])
    }

    /// An endpoint by its id, new if it is not known. [`EndpointTable::refresh`] has to follow.
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

    /// All endpoints.
    pub(crate) fn iter(&self) -> impl Iterator<Item = &Endpoint> {
        self.endpoints.iter()
    }

    /// All endpoints, to change.
    pub(crate) fn iter_mut(&mut self) -> impl Iterator<Item = &mut Endpoint> {
        self.endpoints.iter_mut()
    }

    /// Number of endpoints in service.
    pub(crate) fn in_service_count(&self) -> usize {
        self.in_service.len()
    }

    /// The endpoint in service at a place of their shared order.
    pub(crate) fn in_service_at(&self, index: usize) -> &Endpoint {
        &self.endpoints[self.in_service[index]]
    }

    /// The endpoints in service in their shared order.
    pub(crate) fn in_service(&self) -> impl Iterator<Item = &Endpoint> {
        self.in_service
            .iter()
            .map(|&position| &self.endpoints[position])
    }

    /// The endpoints in service from a place of their shared order on, around to the one before it.
    pub(crate) fn in_service_from(&self, start: usize) -> impl Iterator<Item = &Endpoint> {
        let (before, from_start) = self.in_service.split_at(start);
        from_start
            .iter()
            .chain(before)
            .map(|&position| &self.endpoints[position])
    }

    /// Brings everything up to date that depends on which endpoints there are.
    pub(crate) fn refresh(&mut self) {
        self.in_service = (0..self.endpoints.len())
            .filter(|&position| self.endpoints[position].is_in_service)
            .collect();
        self.slow_starts = self
            .iter()
            .filter(|endpoint| endpoint.slow_start_since.is_some())
            .count();
        self.limit_sum = LimitSum::default();
    }
}
