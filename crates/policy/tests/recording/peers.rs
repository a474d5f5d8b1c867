//! Simulated counter and endpoints, with faults that come and go.

use chalkdeck::api::{
    CellId, CounterKey, EndpointEntry, EndpointId, EndpointState, Outcome, Timestamp, ZoneId,
};
use std::collections::HashMap;

use super::MILLISECOND;

/// The line of an endpoint in the endpoint list: two zones, cells of two endpoints.
pub fn entry(number: u64, state_in_list: EndpointState, started: Option<u64>) -> EndpointEntry {
    EndpointEntry {
        endpoint: EndpointId(number),
        zone: ZoneId((number % 2) as u32),
        cell: CellId(number / 2),
        state: state_in_list,
        weight: 1.0 + (number % 3) as f64 * 0.5,
        started_at: started.map(Timestamp::from_micros),
    }
}

#[derive(Clone, Copy, Debug, Default, PartialEq)]
enum EndpointFault {
    #[default]
    None,
    Overloaded,
    Slow,
    Failing,
    Silent,
    Full,
    Unreachable,
    Resetting,
}

/// A endpoint as simulated.
#[derive(Clone, Debug, Default)]
pub struct EndpointSimulation {
    fault: EndpointFault,
    pub in_flight: u64,
}

impl EndpointSimulation {
    pub fn draw_fault(&mut self, overload: bool, random: &mut fastrand::Rng) {
        if overload {
            self.fault = EndpointFault::Overloaded;
            return;
        }
        if random.f64() < 0.5 && self.fault != EndpointFault::Overloaded {
            return;
        }
        self.fault = match random.u32(..40) {
            0 => EndpointFault::Slow,
            1 => EndpointFault::Failing,
            2 => EndpointFault::Silent,
            3 => EndpointFault::Full,
            4 => EndpointFault::Unreachable,
            5 => EndpointFault::Resetting,
            _ => EndpointFault::None,
        };
    }

    /// How an attempt that begins now ends, and after how long.
    pub fn serve(&mut self, _now: u64, random: &mut fastrand::Rng) -> (Outcome, u64) {
        self.in_flight += 1;
        let work = (10 + random.u64(..90)) * MILLISECOND * (1 + self.in_flight / 4);
        let fails = random.f64() < 0.7;
        match self.fault {
            EndpointFault::Overloaded => (Outcome::Ok, work * 10),
            EndpointFault::Slow => (Outcome::Ok, work * 6),
            EndpointFault::Failing if fails => (Outcome::Error, 5 * MILLISECOND),
            EndpointFault::Silent => (Outcome::Timeout, u64::MAX / 4),
            EndpointFault::Full => (Outcome::Rejected, 2 * MILLISECOND),
            EndpointFault::Unreachable => (Outcome::ConnectFailed, 100 * MILLISECOND),
            EndpointFault::Resetting if fails => (Outcome::Reset, work / 2),
            _ if random.f64() < 0.005 => (Outcome::Timeout, u64::MAX / 4),
            _ => (Outcome::Ok, work),
        }
    }
}

#[derive(Clone, Copy, Debug, Default, PartialEq)]
enum CounterFault {
    #[default]
    None,
    Slow,
    Silent,
    Full,
    Resetting,
}

/// How a call of the counter ends.
pub struct CounterAnswer {
    pub at: u64,
    pub outcome: Outcome,
    pub total: f64,
}

/// The counter as simulated. Answers for one key come in the order of the calls.
#[derive(Debug, Default)]
pub struct CounterState {
    fault: CounterFault,
    totals: HashMap<u64, f64>,
    last_answer: HashMap<u64, u64>,
}

impl CounterState {
    pub fn draw_fault(&mut self, random: &mut fastrand::Rng) {
        self.fault = match random.u32(..20) {
            0 => CounterFault::Slow,
            1 => CounterFault::Silent,
            2 => CounterFault::Full,
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
    ) -> CounterAnswer {
        let quick = MILLISECOND + random.u64(..4 * MILLISECOND);
        let (outcome, elapsed, is_counted) = match self.fault {
            CounterFault::None if random.f64() < 0.003 => (Outcome::Reset, quick, true),
            CounterFault::None => (Outcome::Ok, quick, true),
            CounterFault::Slow if random.f64() < 0.4 => (Outcome::Timeout, timeout, true),
            CounterFault::Slow => (Outcome::Ok, timeout * 3 / 4, true),
            CounterFault::Silent => (Outcome::Timeout, timeout, random.f64() < 0.5),
            CounterFault::Full => (Outcome::Rejected, quick, false),
            CounterFault::Resetting => (Outcome::Reset, quick, random.f64() < 0.5),
        };
        let total = self.totals.entry(key.0).or_insert(0.0);
        if is_counted {
            *total += amount;
        }
        if random.f64() < 0.3 {
            *total += random.f64() * 3.0;
        }
        let last = self.last_answer.entry(key.0).or_insert(0);
        *last = (now + elapsed).max(*last);
        CounterAnswer {
            at: *last,
            outcome,
            total: *total,
        }
    }
}
