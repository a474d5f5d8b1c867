//! What is refused first. The order is one over all gateways: worth for each unit of room, which settings and the
//! request alone give. How far down it a gateway goes follows what is offered to it.

use crate::Floor;
use std::collections::BTreeMap;

/// Steps for each doubling of worth; nearer ones count as equal.
const STEPS: f64 = 8.0;
/// Steps kept, from the worthless up.
const LEAST: i32 = -64;
const MOST: i32 = 128;
/// Time over which what was offered fades, in seconds.
const SPAN: f64 = 10.0;

/// What was offered lately, by worth.
#[derive(Clone, Debug, Default)]
pub struct Order {
    offered: BTreeMap<i32, f64>,
    faded: u64,
}

fn step(worth: f64) -> i32 {
    if worth <= 0.0 {
        return LEAST;
    }
    ((worth.log2() * STEPS).round() as i32).clamp(LEAST, MOST)
}

fn worth(step: i32) -> f64 {
    match step {
        LEAST => 0.0,
        s => ((f64::from(s) - 0.5) / STEPS).exp2(),
    }
}

impl Order {
    /// So many units were offered at that worth each.
    pub fn offered(&mut self, worth: f64, units: f64) {
        *self.offered.entry(step(worth)).or_default() += units.max(0.0);
    }

    /// Lets the past fade.
    pub fn fade(&mut self, now: u64) {
        let gone = now.saturating_sub(self.faded) as f64 / 1e6;
        self.faded = now;
        let keep = (-gone / SPAN).exp();
        self.offered.retain(|_, units| {
            *units *= keep;
            *units > 1e-3
        });
    }

    /// The floor that lets in that part of the units offered, the worthiest first.
    pub fn floor(&self, level: f64) -> Floor {
        let all: f64 = self.offered.values().sum();
        if level >= 1.0 || all <= 0.0 {
            return Floor::NONE;
        }
        let mut left = all * level.max(0.0);
        for (&at, &units) in self.offered.iter().rev() {
            if units >= left {
                return Floor {
                    sure: worth(at + 1),
                    from: worth(at),
                    part: left / units,
                };
            }
            left -= units;
        }
        Floor::NONE
    }
}
