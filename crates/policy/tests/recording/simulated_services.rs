//! Simulated counter and endpoints with changing faults.

use chalkdeck::api::{
    CellId, CounterKey, EndpointEntry, EndpointId, EndpointState, Outcome, Timestamp, ZoneId,
};
use std::collections::HashMap;

use super::MILLISECOND;

/// An endpoint's entry in the endpoint list. There are two zones, and cells of two endpoints each.
pub fn entry(id: u64, state: EndpointState, started_at: Option<u64>) -> EndpointEntry {
    EndpointEntry {
        endpoint: EndpointId(id),
        zone: ZoneId((id % 2) as u32),
        cell: CellId(id / 2),
        state,
        weight: 1.0 + (id % 3) as f64 * 0.5,
        started_at: started_at.map(Timestamp::from_micros),
        address: None,
    }
}

#[derive(Clone, Copy, Debug, Default, PartialEq)]
enum EndpointFault {
    #[default]
    None,
    Overloaded,
    Slow,
    Failing,
    Unresponsive,
    Rejecting,
    Unreachable,
    Resetting,
}

/// A simulated endpoint.
#[derive(Clone, Debug, Default)]
pub struct SimulatedEndpoint {
    fault: EndpointFault,
    pub in_flight: u64,
}

impl SimulatedEndpoint {
    pub fn draw_fault(&mut self, is_overload: bool, random: &mut fastrand::Rng) {
        if is_overload {
            self.fault = EndpointFault::Overloaded;
            return;
        }
        if random.f64() < 0.5 && self.fault != EndpointFault::Overloaded {
            return;
        }
        self.fault = match random.u32(..40) {
            0 => EndpointFault::Slow,
            1 => EndpointFault::Failing,
            2 => EndpointFault::Unresponsive,
            3 => EndpointFault::Rejecting,
            4 => EndpointFault::Unreachable,
            5 => EndpointFault::Resetting,
            _ => EndpointFault::None,
        };
    }

    /// Starts an attempt, and returns how and after how many microseconds it ends.
    pub fn serve(&mut self, _now: u64, random: &mut fastrand::Rng) -> (Outcome, u64) {
        self.in_flight += 1;
        let latency = (10 + random.u64(..90)) * MILLISECOND * (1 + self.in_flight / 4);
        let is_faulty_attempt = random.f64() < 0.7;
        match self.fault {
            EndpointFault::Overloaded => (Outcome::Ok, latency * 10),
            EndpointFault::Slow => (Outcome::Ok, latency * 6),
            EndpointFault::Failing if is_faulty_attempt => (Outcome::Error, 5 * MILLISECOND),
            EndpointFault::Unresponsive => (Outcome::Timeout, u64::MAX / 4),
            EndpointFault::Rejecting => (Outcome::Rejected, 2 * MILLISECOND),
            EndpointFault::Unreachable => (Outcome::ConnectFailed, 100 * MILLISECOND),
            EndpointFault::Resetting if is_faulty_attempt => (Outcome::Reset, latency / 2),
            _ if random.f64() < 0.005 => (Outcome::Timeout, u64::MAX / 4),
            _ => (Outcome::Ok, latency),
        }
    }
}

#[derive(Clone, Copy, Debug, Default, PartialEq)]
enum CounterFault {
    #[default]
    None,
    Slow,
    Unresponsive,
    Rejecting,
    Resetting,
}

/// How and when a counter call ends.
pub struct CounterReply {
    pub at: u64,
    pub outcome: Outcome,
    pub total: f64,
}

/// A simulated counter. Replies for one key arrive in the order of the calls.
#[derive(Debug, Default)]
pub struct SimulatedCounter {
    fault: CounterFault,
    totals: HashMap<u64, f64>,
    last_reply_at: HashMap<u64, u64>,
}

impl SimulatedCounter {
    pub fn draw_fault(&mut self, random: &mut fastrand::Rng) {
        self.fault = match random.u32(..20) {
            0 => CounterFault::Slow,
            1 => CounterFault::Unresponsive,
            2 => CounterFault::Rejecting,
            3 => CounterFault::Resetting,
            _ => CounterFault::None,
        };
        if random.f64() < 0.03 {
            self.totals.clear();
        }
    }

    pub fn add(
        &mut self,
        key: CounterKey,
        amount: f64,
        now: u64,
        timeout: u64,
        random: &mut fastrand::Rng,
    ) -> CounterReply {
        let quick_latency = MILLISECOND + random.u64(..4 * MILLISECOND);
        let (outcome, elapsed, is_counted) = match self.fault {
            CounterFault::None if random.f64() < 0.003 => (Outcome::Reset, quick_latency, true),
            CounterFault::None => (Outcome::Ok, quick_latency, true),
            CounterFault::Slow if random.f64() < 0.4 => (Outcome::Timeout, timeout, true),
            CounterFault::Slow => (Outcome::Ok, timeout * 3 / 4, true),
            CounterFault::Unresponsive => (Outcome::Timeout, timeout, random.f64() < 0.5),
            CounterFault::Rejecting => (Outcome::Rejected, quick_latency, false),
            CounterFault::Resetting => (Outcome::Reset, quick_latency, random.f64() < 0.5),
        };
        let total = self.totals.entry(key.0).or_insert(0.0);
        if is_counted {
            *total += amount;
        }
        if random.f64() < 0.3 {
            *total += random.f64() * 3.0;
        }
        let last_reply_at = self.last_reply_at.entry(key.0).or_insert(0);
        *last_reply_at = (now + elapsed).max(*last_reply_at);
        CounterReply {
            at: *last_reply_at,
            outcome,
            total: *total,
        }
    }
}
