//! How much of the work offered is let in: gives way when clients wait too long, for an answer or for a place that does
//! not come free, and grows while they do not.

use crate::room::strain;

/// A refusal after more than this part of the time was for want of room; at the second part, fully so. One that a quota
/// makes comes sooner.
const EASY: f64 = 0.15;
const STRAINED: f64 = 0.3;
/// What a long wait for an answer takes off, what one in vain does, what a short one adds.
const CUT: f64 = 0.04;
const CUT_VAIN: f64 = 0.15;
const GROW: f64 = 0.003;
/// Never less than this is let in, nor than this part of what came back of late.
const LEAST: f64 = 0.05;
const BORNE: f64 = 0.9;

/// Part of the work offered that is let in.
#[derive(Clone, Copy, Debug)]
pub struct Level(pub f64);

impl Default for Level {
    fn default() -> Level {
        Level(1.0)
    }
}

impl Level {
    /// A client had its final answer after `waited` of `aim`; `borne`: what came back of late, as a part of what was
    /// offered. Guards against a jam of a second that shuts out work for many.
    pub fn ended(&mut self, served: bool, waited: u64, aim: u64, borne: f64) {
        let part = waited as f64 / aim.max(1) as f64;
        let (strained, cut) = match served {
            true => (strain(waited, aim), CUT),
            false => (
                ((part - EASY) / (STRAINED - EASY)).clamp(0.0, 1.0),
                CUT_VAIN,
            ),
        };
        // A quota's refusal says nothing either way.
        let grow = if served && strained == 0.0 { GROW } else { 0.0 };
        self.0 = (self.0 * (1.0 - cut * strained) + grow)
            .max(BORNE * borne)
            .clamp(LEAST, 1.0);
    }
}
