//! Timers of a loop by their purposes.

use crate::engine::Engine;
use slab::Slab;

/// The purposes of the timers that are set. Each timer fires once, and its place is free again then.
#[derive(Debug)]
pub struct TimerQueue<T> {
    purposes: Slab<T>,
}

impl<T> Default for TimerQueue<T> {
    fn default() -> TimerQueue<T> {
        TimerQueue {
            purposes: Slab::new(),
        }
    }
}

impl<T> TimerQueue<T> {
    /// Sets a timer that fires after so many microseconds.
    pub fn set(&mut self, engine: &mut Engine, after: u64, purpose: T) {
        let token = self.purposes.insert(purpose) as u64;
        engine.timer(engine.now().saturating_add(after), token);
    }

    /// Takes the purpose of the timer that has fired with this token.
    pub fn take(&mut self, token: u64) -> Option<T> {
        self.purposes.try_remove(token as usize)
    }
}
