//! Simulated counter and servers, with faults that come and go.

use chalkdeck::api::{
    CellId, CounterKey, EndpointEntry, EndpointId, EndpointState, Outcome, Timestamp, ZoneId,
};
use std::collections::HashMap;

use super::MILLISECOND;

/// The line of a server in the server list: two zones, cells of two servers.
pub fn entry(number: u64, listed: EndpointState, started: Option<u64>) -> EndpointEntry {
    EndpointEntry {
        endpoint: EndpointId(number),
        zone: ZoneId((number % 2) as u32),
        cell: CellId(number / 2),
        state: listed,
        weight: 1.0 + (number % 3) as f64 * 0.5,
        started_at: started.map(Timestamp::from_micros),
    }
}

#[derive(Clone, Copy, Debug, Default, PartialEq)]
enum ServerFault {
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

/// A server as the world has it.
#[derive(Clone, Debug, Default)]
pub struct ServerState {
    fault: ServerFault,
    pub in_flight: u64,
}

impl ServerState {
    pub fn draw_fault(&mut self, overload: bool, random: &mut fastrand::Rng) {
        if overload {
            self.fault = ServerFault::Overloaded;
            return;
        }
        if random.f64() < 0.5 && self.fault != ServerFault::Overloaded {
            return;
        }
        self.fault = match random.u32(..40) {
            0 => ServerFault::Slow,
            1 => ServerFault::Failing,
            2 => ServerFault::Silent,
            3 => ServerFault::Full,
            4 => ServerFault::Unreachable,
            5 => ServerFault::Resetting,
            _ => ServerFault::None,
        };
    }

    /// How an attempt that begins now ends, and after how long.
    pub fn serve(&mut self, _now: u64, random: &mut fastrand::Rng) -> (Outcome, u64) {
        self.in_flight += 1;
        let work = (10 + random.u64(..90)) * MILLISECOND * (1 + self.in_flight / 4);
        let fails = random.f64() < 0.7;
        match self.fault {
            ServerFault::Overloaded => (Outcome::Ok, work * 10),
            ServerFault::Slow => (Outcome::Ok, work * 6),
            ServerFault::Failing if fails => (Outcome::Error, 5 * MILLISECOND),
            ServerFault::Silent => (Outcome::Timeout, u64::MAX / 4),
            ServerFault::Full => (Outcome::Rejected, 2 * MILLISECOND),
            ServerFault::Unreachable => (Outcome::ConnectFailed, 100 * MILLISECOND),
            ServerFault::Resetting if fails => (Outcome::Reset, work / 2),
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

/// The counter as the world has it. Answers for one name come in the order of the calls.
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
        name: CounterKey,
        amount: f64,
        now: u64,
        timeout: u64,
        random: &mut fastrand::Rng,
    ) -> CounterAnswer {
        let quick = MILLISECOND + random.u64(..4 * MILLISECOND);
        let (outcome, took, is_counted) = match self.fault {
            CounterFault::None if random.f64() < 0.003 => (Outcome::Reset, quick, true),
            CounterFault::None => (Outcome::Ok, quick, true),
            CounterFault::Slow if random.f64() < 0.4 => (Outcome::Timeout, timeout, true),
            CounterFault::Slow => (Outcome::Ok, timeout * 3 / 4, true),
            CounterFault::Silent => (Outcome::Timeout, timeout, random.f64() < 0.5),
            CounterFault::Full => (Outcome::Rejected, quick, false),
            CounterFault::Resetting => (Outcome::Reset, quick, random.f64() < 0.5),
        };
        let total = self.totals.entry(name.0).or_insert(0.0);
        if is_counted {
            *total += amount;
        }
        if random.f64() < 0.3 {
            *total += random.f64() * 3.0;
        }
        let last = self.last_answer.entry(name.0).or_insert(0);
        *last = (now + took).max(*last);
        CounterAnswer {
            at: *last,
            outcome,
            total: *total,
        }
    }
}
