//! The customers whose state this gateway holds, within a bound on their number.
//!
//! At the bound, the customer that has rested longest makes room for a new one. What it has used of
//! its quota is kept in a smaller form, so that dropping its state never renews its quota.

use crate::api::{CustomerId, Plan, TimeDelta, Timestamp};
use crate::customer::Customer;
use crate::hash::mix_bits;
use rustc_hash::FxHashMap;
use std::collections::VecDeque;
use std::ops::Index;

#[cfg(test)]
mod tests;

/// The maximum number of customers if the settings state none.
pub(crate) const DEFAULT_MAX_CUSTOMERS: usize = 1 << 16;
/// The number of records of dropped customers for each one that is held.
const RECORDS_PER_CUSTOMER: usize = 16;
/// The number of customers that are examined to find one that can be dropped.
const MAX_EXAMINED: usize = 16;

/// When the quotas of dropped customers are full again. A record is shared by the customers whose
/// ids have the same hash, and holds the latest of their times: what a customer finds there is
/// never more than it has left.
#[derive(Debug)]
struct DroppedQuotas {
    /// In microseconds: the system gives memory for zeroes only once they are overwritten.
    full_at_micros: Vec<u64>,
}

impl DroppedQuotas {
    fn new(count: usize) -> DroppedQuotas {
        DroppedQuotas {
            full_at_micros: vec![0; count],
        }
    }

    fn index(&self, id: CustomerId) -> usize {
        (mix_bits(id.0) % self.full_at_micros.len() as u64) as usize
    }

    fn record(&mut self, id: CustomerId, full_at: Timestamp) {
        let index = self.index(id);
        let recorded = &mut self.full_at_micros[index];
        *recorded = (*recorded).max(full_at.as_micros());
    }

    fn full_at(&self, id: CustomerId) -> Timestamp {
        Timestamp::from_micros(self.full_at_micros[self.index(id)])
    }
}

/// The customers of one gateway.
#[derive(Debug)]
pub(crate) struct CustomerTable {
    customers: FxHashMap<CustomerId, Customer>,
    max_customers: usize,
    /// The customers in the order in which they are examined to make room.
    examined_next: VecDeque<CustomerId>,
    dropped: DroppedQuotas,
}

impl CustomerTable {
    /// Creates an empty table. More customers than `max_customers` are held only while each of them
    /// has an open request or a slot.
    pub(crate) fn new(max_customers: usize) -> CustomerTable {
        let max_customers = max_customers.max(1);
        CustomerTable {
            customers: FxHashMap::default(),
            max_customers,
            examined_next: VecDeque::new(),
            dropped: DroppedQuotas::new(max_customers.saturating_mul(RECORDS_PER_CUSTOMER)),
        }
    }

    /// The number of customers.
    #[cfg(test)]
    pub(crate) fn len(&self) -> usize {
        self.customers.len()
    }

    /// Whether the state of a customer is held.
    pub(crate) fn contains_key(&self, id: &CustomerId) -> bool {
        self.customers.contains_key(id)
    }

    /// The state of a customer.
    pub(crate) fn get(&self, id: &CustomerId) -> Option<&Customer> {
        self.customers.get(id)
    }

    /// The state of a customer.
    pub(crate) fn get_mut(&mut self, id: &CustomerId) -> Option<&mut Customer> {
        self.customers.get_mut(id)
    }

    /// The state of a customer, which is created if it is not held: with what a customer that was
    /// dropped may have left of its quota.
    pub(crate) fn get_or_insert(
        &mut self,
        now: Timestamp,
        id: CustomerId,
        plans: &[Plan],
    ) -> &mut Customer {
        if !self.customers.contains_key(&id) {
            self.make_room(now, plans);
            let customer = Customer::returning(now, self.dropped.full_at(id));
            self.customers.insert(id, customer);
            self.examined_next.push_back(id);
        }
        self.customers.entry(id).or_default()
    }

    /// Drops a customer if the table is full. Customers that were active since they were last
    /// examined are passed over once.
    fn make_room(&mut self, now: Timestamp, plans: &[Plan]) {
        if self.customers.len() < self.max_customers {
            return;
        }
        for _ in 0..MAX_EXAMINED.min(self.examined_next.len()) {
            let Some(id) = self.examined_next.pop_front() else {
                return;
            };
            let Some(customer) = self.customers.get_mut(&id) else {
                continue;
            };
            let was_active = std::mem::replace(&mut customer.is_recently_active, false);
            if was_active || !customer.can_be_dropped() {
                self.examined_next.push_back(id);
                continue;
            }
            self.drop_customer(now, id, plans);
            if self.customers.len() < self.max_customers {
                return;
            }
        }
        self.drop_first_droppable(now, plans);
    }

    /// Drops the first customer that can be dropped among the next ones, whether it was active or
    /// not.
    fn drop_first_droppable(&mut self, now: Timestamp, plans: &[Plan]) {
        for _ in 0..MAX_EXAMINED.min(self.examined_next.len()) {
            let Some(id) = self.examined_next.pop_front() else {
                return;
            };
            let customer = self.customers.get(&id);
            if customer.is_some_and(|customer| !customer.can_be_dropped()) {
                self.examined_next.push_back(id);
                continue;
            }
            self.drop_customer(now, id, plans);
            return;
        }
    }

    fn drop_customer(&mut self, now: Timestamp, id: CustomerId, plans: &[Plan]) {
        if let Some(customer) = self.customers.remove(&id) {
            let full_at = customer.quota_full_at(now, &plans[customer.plan.0]);
            if full_at > now {
                self.dropped.record(id, full_at);
            }
        }
    }

    /// Drops the customers without a request for so long that they have expired.
    pub(crate) fn drop_expired(&mut self, now: Timestamp, plans: &[Plan]) {
        for _ in 0..self.examined_next.len() {
            let Some(id) = self.examined_next.pop_front() else {
                return;
            };
            match self.customers.get(&id) {
                Some(customer) if customer.is_expired(now) => self.drop_customer(now, id, plans),
                Some(_) => self.examined_next.push_back(id),
                None => {}
            }
        }
    }
}

impl Index<&CustomerId> for CustomerTable {
    type Output = Customer;

    fn index(&self, id: &CustomerId) -> &Customer {
        &self.customers[id]
    }
}

/// The time until a bucket with this many units missing is full again, at a refill rate in units
/// per second.
pub(crate) fn time_to_refill(missing: f64, rate: f64) -> TimeDelta {
    const MICROS_PER_SECOND: f64 = 1e6;
    if missing <= 0.0 || rate <= 0.0 {
        return TimeDelta::ZERO;
    }
    TimeDelta::from_micros((missing / rate * MICROS_PER_SECOND) as u64)
}
