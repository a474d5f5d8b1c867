//! Timers of the loop by what they are for.

use crate::engine::Engine;
use slab::Slab;

/// What timers are under way. Each comes due once, so its place is free again after.
#[derive(Debug)]
pub struct Dues<T>(Slab<T>);

impl<T> Default for Dues<T> {
    fn default() -> Dues<T> {
        Dues(Slab::new())
    }
}

impl<T> Dues<T> {
    /// Sets a timer that comes due after so many microseconds.
    pub fn set(&mut self, engine: &mut Engine, after: u64, due: T) {
        let token = self.0.insert(due) as u64;
        engine.timer(engine.now().saturating_add(after), token);
    }
    /// What the timer that came due was for.
    pub fn take(&mut self, token: u64) -> Option<T> {
        self.0.try_remove(token as usize)
    }
}
