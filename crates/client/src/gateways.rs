//! The gateways of a client: which stand, when one that was lost is tried again, and which one takes the next try.

use crate::core::Settings;
use fastrand::Rng;

/// Failures in a row after which a gateway is rested.
const OUTLIER: u32 = 3;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Link {
    /// To be connected at that time.
    Down(u64),
    Connecting,
    Up,
}

#[derive(Debug, Clone)]
struct Gateway {
    link: Link,
    /// Connects lost or failed in a row.
    lost: u32,
    outstanding: usize,
    /// Tries that failed in a row, and until when it is rested for them.
    failed: u32,
    rested: u64,
    /// No longer on the list.
    gone: bool,
}

/// All gateways, by their place in the list.
#[derive(Debug, Clone, Default)]
pub(crate) struct Gateways(Vec<Gateway>);

impl Gateways {
    /// So many gateways; their first connects are spread over the first window.
    pub(crate) fn set(&mut self, count: usize, now: u64) {
        for (i, g) in self.0.iter_mut().enumerate() {
            g.gone = i >= count;
        }
        let new = Gateway {
            link: Link::Down(now),
            lost: 0,
            outstanding: 0,
            failed: 0,
            rested: 0,
            gone: false,
        };
        while self.0.len() < count {
            self.0.push(new.clone());
        }
    }

    /// Gateways whose time to connect has come.
    pub(crate) fn due(&mut self, now: u64) -> Vec<usize> {
        let due = |g: &Gateway| !g.gone && matches!(g.link, Link::Down(at) if at <= now);
        let places: Vec<usize> = (0..self.0.len()).filter(|&i| due(&self.0[i])).collect();
        places
            .iter()
            .for_each(|&i| self.0[i].link = Link::Connecting);
        places
    }

    /// When the next connect is due.
    pub(crate) fn next_due(&self) -> Option<u64> {
        let at = |g: &Gateway| match g.link {
            Link::Down(at) if !g.gone => Some(at),
            _ => None,
        };
        self.0.iter().filter_map(at).min()
    }

    pub(crate) fn connected(&mut self, place: usize) {
        if let Some(g) = self.0.get_mut(place) {
            g.link = Link::Up;
        }
    }

    /// A connection is over or was not made: tried again at a time drawn from a window that doubles with each loss.
    pub(crate) fn lost(&mut self, place: usize, now: u64, set: &Settings, rng: &mut Rng) {
        let Some(g) = self.0.get_mut(place) else {
            return;
        };
        let window = set
            .reconnect_first
            .saturating_mul(1 << g.lost.min(20))
            .min(set.reconnect_most);
        g.lost += 1;
        (g.link, g.outstanding) = (Link::Down(now + rng.u64(0..=window)), 0);
    }

    pub(crate) fn sent(&mut self, place: usize) {
        self.0
            .get_mut(place)
            .into_iter()
            .for_each(|g| g.outstanding += 1);
    }

    /// A try ended there, in an answer or refusal (`well`) or not.
    pub(crate) fn ended(&mut self, place: usize, well: bool, now: u64, set: &Settings) {
        let Some(g) = self.0.get_mut(place) else {
            return;
        };
        g.outstanding = g.outstanding.saturating_sub(1);
        if well {
            (g.failed, g.lost) = (0, 0);
            return;
        }
        g.failed += 1;
        if g.failed >= OUTLIER {
            (g.failed, g.rested) = (0, now + set.rest);
        }
    }

    /// The one with less outstanding of two drawn by chance, among those that stand and are not rested; a rested one
    /// only where there is no other.
    pub(crate) fn choose(&self, now: u64, set: &Settings, rng: &mut Rng) -> Option<usize> {
        let up = |g: &Gateway| g.link == Link::Up && !g.gone && g.outstanding < set.outstanding;
        let all: Vec<usize> = (0..self.0.len()).filter(|&i| up(&self.0[i])).collect();
        let fit: Vec<usize> = all
            .iter()
            .copied()
            .filter(|&i| self.0[i].rested <= now)
            .collect();
        let from = if fit.is_empty() { &all } else { &fit };
        let (a, b) = (rng.choice(from)?, rng.choice(from)?);
        Some(if self.0[*b].outstanding < self.0[*a].outstanding {
            *b
        } else {
            *a
        })
    }
}
