//! A holder's reckoning of its own session.

use crate::Terms;
use std::collections::VecDeque;

/// Renewals that are remembered until they are answered; an older one's answer gives nothing.
const OUT: usize = 16;

/// How long a session lasts by its holder's own clock. It counts from when a renewal was sent, as that is before anybody else
/// can count from it.
#[derive(Clone, Debug)]
pub struct Lease {
    terms: Terms,
    /// Renewals under way: their number, and when they were sent.
    out: VecDeque<(u64, u64)>,
    next: u64,
    until: Option<u64>,
}

impl Lease {
    /// A session that was never granted.
    pub fn new(terms: Terms) -> Lease {
        Lease {
            terms,
            out: VecDeque::new(),
            next: 0,
            until: None,
        }
    }
    /// What was agreed on.
    pub fn terms(&self) -> &Terms {
        &self.terms
    }
    /// A renewal goes out now; returns its number, which the grant carries again.
    pub fn sent(&mut self, now: u64) -> u64 {
        self.next += 1;
        self.out.push_back((self.next, now));
        if self.out.len() > OUT {
            self.out.pop_front();
        }
        self.next
    }
    /// A renewal was granted. Later numbers stand for earlier ones, too.
    pub fn granted(&mut self, number: u64) {
        while let Some((sent, at)) = self.out.front().copied().filter(|(n, _)| *n <= number) {
            self.out.pop_front();
            if sent == number {
                self.until = self.until.max(Some(at + self.terms.held()));
            }
        }
    }
    /// The session is over: it was closed, or the keepers do not know it.
    pub fn ended(&mut self) {
        (self.until, self.out) = (None, VecDeque::new());
    }
    /// Whether the session stands at `now`. To be asked right before each effect and each decision that rests on it.
    pub fn stands(&self, now: u64) -> bool {
        self.until.is_some_and(|until| now < until)
    }
    /// Until when it stands unless it is renewed; none: it was never granted, or ended.
    pub fn until(&self) -> Option<u64> {
        self.until
    }
}
