//! A farm server's work without its sockets: cores, waiting room, a cold start that warms, and falling over.

use std::collections::VecDeque;

/// How a server is built.
#[derive(Clone, Debug)]
pub struct Build {
    pub cores: usize,
    /// Calls that may wait for a core.
    pub room: usize,
    pub cold_from: f64,
    /// Microseconds until it is warm.
    pub cold: u64,
    pub fall_multiple: f64,
    /// Microseconds over which it must be pushed.
    pub tip_after: u64,
    /// A cancel lets running work go on.
    pub runs_on: bool,
}

/// What became of an arrival.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Admit {
    /// It runs, and ends after so many microseconds.
    Runs(u64),
    Waits,
    Full,
    /// This one pushed the server over.
    Fell,
}

/// One server's state. Times in microseconds of any one clock.
#[derive(Debug)]
pub struct Model {
    build: Build,
    started: u64,
    running: Vec<u64>,
    waiting: VecDeque<(u64, u64)>,
    /// Arrivals of the last moments with their work, while cold.
    pushed: VecDeque<(u64, u64)>,
    fallen: bool,
    /// Multiplies the time of all work.
    pub slow: f64,
}

impl Model {
    pub fn new(build: Build, started: u64) -> Model {
        let (running, waiting, pushed) = (Vec::new(), VecDeque::new(), VecDeque::new());
        Model {
            build,
            started,
            running,
            waiting,
            pushed,
            fallen: false,
            slow: 1.0,
        }
    }

    /// Part of its capacity that it has now.
    pub fn warmth(&self, now: u64) -> f64 {
        if self.build.cold == 0 {
            return 1.0;
        }
        let part = now.saturating_sub(self.started) as f64 / self.build.cold as f64;
        (self.build.cold_from + (1.0 - self.build.cold_from) * part).min(1.0)
    }

    /// Work arrives, `work` microseconds of one warm core.
    pub fn arrive(&mut self, now: u64, id: u64, work: u64) -> Admit {
        if self.fallen || self.push(now, work) {
            return Admit::Fell;
        }
        if self.running.len() < self.build.cores {
            self.running.push(id);
            return Admit::Runs(self.lasts(now, work));
        }
        if self.waiting.len() < self.build.room {
            self.waiting.push_back((id, work));
            return Admit::Waits;
        }
        Admit::Full
    }

    /// Work ended or was called off; returns the next to run and how long.
    pub fn leave(&mut self, now: u64, id: u64, called_off: bool) -> Option<(u64, u64)> {
        if let Some(at) = self.waiting.iter().position(|w| w.0 == id) {
            self.waiting.remove(at);
            return None;
        }
        let at = self.running.iter().position(|r| *r == id)?;
        if called_off && self.build.runs_on {
            return None;
        }
        self.running.swap_remove(at);
        let (next, work) = self.waiting.pop_front()?;
        self.running.push(next);
        Some((next, self.lasts(now, work)))
    }

    fn lasts(&self, now: u64, work: u64) -> u64 {
        (work as f64 * self.slow / self.warmth(now)) as u64
    }

    /// Whether a cold server has now been pushed over: more work within the span than the multiple of what it could do.
    fn push(&mut self, now: u64, work: u64) -> bool {
        let warmth = self.warmth(now);
        if warmth >= 1.0 {
            self.pushed.clear();
            return false;
        }
        self.pushed.push_back((now, work));
        while self
            .pushed
            .front()
            .is_some_and(|p| p.0 + self.build.tip_after < now)
        {
            self.pushed.pop_front();
        }
        let sum: u64 = self.pushed.iter().map(|p| p.1).sum();
        let bears = self.build.fall_multiple
            * warmth
            * self.build.cores as f64
            * self.build.tip_after as f64;
        self.fallen = sum as f64 > bears;
        self.fallen
    }
}

#[cfg(test)]
mod tests;
