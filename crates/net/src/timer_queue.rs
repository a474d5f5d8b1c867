//! Timers of an event loop that carry payloads.

use crate::engine::Engine;
use rustc_hash::FxHashMap;

/// Identifies a timer of a [`TimerQueue`]. No two timers of a queue have the same token.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TimerToken(u64);

/// A timer that is set.
#[derive(Debug)]
struct Timer<T> {
    /// When it fires, in microseconds.
    at: u64,
    payload: T,
}

/// The timers that are set, with their payloads. Each fires once, unless it is cancelled.
#[derive(Debug)]
pub struct TimerQueue<T> {
    timers: FxHashMap<u64, Timer<T>>,
    last_token: u64,
}

impl<T> Default for TimerQueue<T> {
    fn default() -> TimerQueue<T> {
        TimerQueue {
            timers: FxHashMap::default(),
            last_token: 0,
        }
    }
}

impl<T> TimerQueue<T> {
    /// Sets a timer that fires after a delay.
    pub fn set(&mut self, engine: &mut Engine, after_micros: u64, payload: T) -> TimerToken {
        self.last_token += 1;
        let token = self.last_token;
        let at = engine.now().saturating_add(after_micros);
        self.timers.insert(token, Timer { at, payload });
        engine.set_timer(at, token);
        TimerToken(token)
    }

    /// Removes and returns the payload of the timer that fired with this token; `None` if it was cancelled.
    pub fn take(&mut self, token: u64) -> Option<T> {
        self.timers.remove(&token).map(|timer| timer.payload)
    }

    /// Cancels a timer. Does nothing if it has fired.
    pub fn cancel(&mut self, engine: &mut Engine, token: TimerToken) {
        if let Some(timer) = self.timers.remove(&token.0) {
            engine.cancel_timer(timer.at, token.0);
        }
    }
}
