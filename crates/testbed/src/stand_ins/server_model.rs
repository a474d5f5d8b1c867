//! Model of a server's capacity, without I/O: cores, a bounded queue, slow start, and collapse under overload during slow
//! start.

use std::collections::VecDeque;

/// Capacity and overload behavior of a server.
#[derive(Clone, Debug)]
pub struct ServerSpec {
    pub cores: usize,
    /// The most calls that wait for a core; more are rejected.
    pub queue_capacity: usize,
    /// The fraction of its capacity that a server has right after its start; it grows linearly to 1.
    pub slow_start_min_capacity: f64,
    /// Time from the start to full capacity, in microseconds; 0: full capacity at once.
    pub slow_start_us: u64,
    /// A server in slow start collapses when the work that arrives within the window exceeds its present capacity by this
    /// factor.
    pub overload_multiple: f64,
    /// Length of that window, in microseconds.
    pub overload_duration_us: u64,
    /// Calls that have started run to their end although they are cancelled.
    pub ignores_cancel: bool,
}

/// Result of the arrival of a call.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Admission {
    /// It got a core and takes this many microseconds.
    Started(u64),
    /// All cores are busy: it waits for one.
    Queued,
    /// The queue is full: it has to be rejected.
    QueueFull,
    /// The server has collapsed, by this call or earlier, and doesn't respond any more.
    Collapsed,
}

/// State of one server. All times are in microseconds of the same clock.
#[derive(Debug)]
pub struct ServerModel {
    spec: ServerSpec,
    started_at: u64,
    /// Ids of the calls that have a core.
    running: Vec<u64>,
    /// Ids of the calls that wait and their work, in microseconds.
    waiting: VecDeque<(u64, u64)>,
    /// Times of the arrivals within the overload window and their work, in microseconds; empty after slow start.
    recent_arrivals: VecDeque<(u64, u64)>,
    has_collapsed: bool,
    /// Multiplies the duration of all work.
    pub slowdown: f64,
}

impl ServerModel {
    pub fn new(spec: ServerSpec, started_at: u64) -> ServerModel {
        let (running, waiting, recent_arrivals) = (Vec::new(), VecDeque::new(), VecDeque::new());
        ServerModel {
            spec,
            started_at,
            running,
            waiting,
            recent_arrivals,
            has_collapsed: false,
            slowdown: 1.0,
        }
    }

    /// The fraction of its capacity that the server has now.
    pub fn capacity_fraction(&self, now: u64) -> f64 {
        if self.spec.slow_start_us == 0 {
            return 1.0;
        }
        let warmed_up = now.saturating_sub(self.started_at) as f64 / self.spec.slow_start_us as f64;
        (self.spec.slow_start_min_capacity + (1.0 - self.spec.slow_start_min_capacity) * warmed_up)
            .min(1.0)
    }

    /// A call arrives that takes a core at full capacity `work_us` microseconds.
    pub fn arrive(&mut self, now: u64, id: u64, work_us: u64) -> Admission {
        if self.has_collapsed || self.check_overload(now, work_us) {
            return Admission::Collapsed;
        }
        if self.running.len() < self.spec.cores {
            self.running.push(id);
            return Admission::Started(self.duration_us(now, work_us));
        }
        if self.waiting.len() < self.spec.queue_capacity {
            self.waiting.push_back((id, work_us));
            return Admission::Queued;
        }
        Admission::QueueFull
    }

    /// A call ended or was cancelled. Returns the next call that starts, with its duration in microseconds.
    pub fn finish(&mut self, now: u64, id: u64, is_cancelled: bool) -> Option<(u64, u64)> {
        if let Some(index) = self.waiting.iter().position(|w| w.0 == id) {
            self.waiting.remove(index);
            return None;
        }
        let index = self.running.iter().position(|r| *r == id)?;
        if is_cancelled && self.spec.ignores_cancel {
            return None;
        }
        self.running.swap_remove(index);
        let (next, work_us) = self.waiting.pop_front()?;
        self.running.push(next);
        Some((next, self.duration_us(now, work_us)))
    }

    fn duration_us(&self, now: u64, work_us: u64) -> u64 {
        (work_us as f64 * self.slowdown / self.capacity_fraction(now)) as u64
    }

    /// Whether a server in slow start collapses now: the work that arrived within the window exceeds `overload_multiple` times
    /// what the server can do in that time.
    fn check_overload(&mut self, now: u64, work_us: u64) -> bool {
        let capacity = self.capacity_fraction(now);
        if capacity >= 1.0 {
            self.recent_arrivals.clear();
            return false;
        }
        self.recent_arrivals.push_back((now, work_us));
        while self
            .recent_arrivals
            .front()
            .is_some_and(|p| p.0 + self.spec.overload_duration_us < now)
        {
            self.recent_arrivals.pop_front();
        }
        let recent_work_us: u64 = self.recent_arrivals.iter().map(|p| p.1).sum();
        let limit_us = self.spec.overload_multiple
            * capacity
            * self.spec.cores as f64
            * self.spec.overload_duration_us as f64;
        self.has_collapsed = recent_work_us as f64 > limit_us;
        self.has_collapsed
    }
}

#[cfg(test)]
mod tests;
