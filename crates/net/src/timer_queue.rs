//! Timers of an event loop that carry payloads.

use crate::engine::Engine;
use slab::Slab;

/// The payloads of the timers that are set. Each timer fires once; its token can be reused afterwards.
#[derive(Debug)]
pub struct TimerQueue<T> {
    payloads: Slab<T>,
}

impl<T> Default for TimerQueue<T> {
    fn default() -> TimerQueue<T> {
        TimerQueue {
            payloads: Slab::new(),
        }
    }
}

impl<T> TimerQueue<T> {
    /// Sets a timer that fires after a delay.
    pub fn set(&mut self, engine: &mut Engine, after_micros: u64, payload: T) {
        let token = self.payloads.insert(payload) as u64;
        engine.set_timer(engine.now().saturating_add(after_micros), token);
    }

    /// Removes and returns the payload of the timer that fired with this token.
    pub fn take(&mut self, token: u64) -> Option<T> {
        self.payloads.try_remove(token as usize)
    }
}
