//! What a gateway keeps in mind. Nothing here decides.

use crate::api::*;
use crate::rules::Breaker;
use rustc_hash::FxHashMap;
use std::collections::VecDeque;

/// A store of units that fills at a rate. It may go below nothing where the caller lets it.
#[derive(Debug, Clone, Default)]
pub(crate) struct TokenBucket {
    pub(crate) level: f64,
    pub(crate) depth: f64,
    pub(crate) rate: f64,
    pub(crate) at: Timestamp,
}

impl TokenBucket {
    pub(crate) fn fill(&mut self, now: Timestamp) {
        self.level = (self.level + self.rate * (now - self.at).as_secs_f64()).min(self.depth);
        self.at = now.max(self.at);
    }
    pub(crate) fn take(&mut self, now: Timestamp, units: f64) -> bool {
        self.fill(now);
        let enough = self.level >= units;
        if enough {
            self.level -= units;
        }
        enough
    }
}

/// What a count is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Purpose {
    Window,
    Open,
}

/// One call to the counter whose answer is still to come.
#[derive(Debug)]
pub(crate) struct Call {
    pub(crate) sent: Timestamp,
    pub(crate) purpose: Purpose,
    pub(crate) customer: CustomerId,
    pub(crate) span: u64,
    pub(crate) request: Option<RequestId>,
    pub(crate) amount: f64,
    /// The part of the amount that is earlier spend.
    pub(crate) extra: f64,
    /// The part of the amount that stands for requests like this one that do not ask.
    pub(crate) like: f64,
    pub(crate) probe: bool,
}

/// This gateway's side of a customer's shared count in one window (or epoch).
#[derive(Debug, Default)]
pub(crate) struct Tally {
    pub(crate) span: u64,
    /// Own adds known to have been counted.
    pub(crate) posted: f64,
    /// Own spend not yet on the counter.
    pub(crate) owed: f64,
    /// Own earlier spend that calls under way carry.
    pub(crate) posting: f64,
    /// The last total heard.
    pub(crate) seen: f64,
    /// The customer's store when the total was `base`, at that time.
    pub(crate) store: f64,
    pub(crate) base: f64,
    pub(crate) at: Timestamp,
}

impl Tally {
    /// The total as far as it is known here, with what of ours it does not hold yet.
    pub(crate) fn known(&self) -> f64 {
        self.seen + self.owed + self.posting
    }
    /// The store by a total, filled at `rate` up to `burst` since it was last looked at.
    pub(crate) fn level(&self, now: Timestamp, total: f64, rate: f64, burst: f64) -> f64 {
        (self.store + rate * (now - self.at).as_secs_f64()).min(burst) - (total - self.base)
    }
}

/// What was refused last, by which a repeat is known.
#[derive(Debug)]
pub(crate) struct Refusal {
    pub(crate) class: ClassId,
    pub(crate) units: f64,
    pub(crate) at: Timestamp,
}

#[derive(Debug, Default)]
pub(crate) struct Customer {
    pub(crate) refused: Option<Refusal>,
    /// When it was last heard to be over its quota, if it was at the last total heard.
    pub(crate) full: Option<Timestamp>,
    pub(crate) plan: usize,
    pub(crate) spread: f64,
    pub(crate) window: Tally,
    pub(crate) epoch: Tally,
    /// Own adds and totals of past windows, fading.
    pub(crate) heard: (f64, f64),
    pub(crate) bucket: Option<TokenBucket>,
    /// Starts in a cap's places while the counter is not heard.
    pub(crate) places: Option<TokenBucket>,
    /// What may go on unheard or beyond the quota under a ceiling.
    pub(crate) beyond: TokenBucket,
    pub(crate) breaker: Breaker,
    /// Own attempts out (of a plan that caps them).
    pub(crate) out: f64,
    pub(crate) used: Timestamp,
}

#[derive(Debug, Clone)]
pub(crate) struct Attempt {
    pub(crate) server: EndpointId,
    pub(crate) sent: Timestamp,
    pub(crate) out: bool,
    pub(crate) may_have_run: bool,
    /// Quick answers of its server when it was sent.
    pub(crate) quick: u64,
}

#[derive(Debug, Default)]
pub(crate) struct Request {
    pub(crate) a: IncomingRequest,
    pub(crate) arrived: Timestamp,
    pub(crate) attempts: Vec<Attempt>,
    /// Window whose count holds what this request added, and that, until the first send.
    pub(crate) counted: Option<(u64, f64)>,
    /// It holds a place in the customer's attempts out.
    pub(crate) holds_place: bool,
    /// Count calls made for it whose answers are still to come.
    pub(crate) asking: u32,
    pub(crate) held_since: Option<Timestamp>,
    pub(crate) streaming: bool,
    /// Its body went with the first attempt.
    pub(crate) body_gone: bool,
    pub(crate) done: bool,
}

impl Request {
    /// An attempt of it is out.
    pub(crate) fn is_out(&self) -> bool {
        self.attempts.iter().any(|a| a.out)
    }
}

#[derive(Debug, Default)]
pub(crate) struct Server {
    pub(crate) zone: ZoneId,
    pub(crate) cell: CellId,
    pub(crate) weight: f64,
    pub(crate) listed: bool,
    pub(crate) out: f64,
    pub(crate) latency: f64,
    pub(crate) limit: f64,
    pub(crate) fail_share: f64,
    /// When its share of failures was last brought up to date.
    pub(crate) judged: Timestamp,
    pub(crate) ejected_until: Timestamp,
    pub(crate) ejections: u32,
    pub(crate) trial: bool,
    /// Its answers early against the aim.
    pub(crate) quick: u64,
    /// The first and the last of the failed connects since it answered.
    pub(crate) unreached: Option<(Timestamp, Timestamp)>,
    pub(crate) cold_since: Option<Timestamp>,
    pub(crate) cold_room: TokenBucket,
}

/// The servers in the order of their ids. A place holds until a server is added.
#[derive(Default)]
pub(crate) struct Servers(Vec<(EndpointId, Server)>);

impl Servers {
    fn place(&self, id: EndpointId) -> Result<usize, usize> {
        self.0.binary_search_by_key(&id, |s| s.0)
    }
    pub(crate) fn get(&self, id: EndpointId) -> Option<&Server> {
        self.place(id).ok().map(|i| &self.0[i].1)
    }
    pub(crate) fn get_mut(&mut self, id: EndpointId) -> Option<&mut Server> {
        self.place(id).ok().map(|i| &mut self.0[i].1)
    }
    pub(crate) fn get_or_insert(
        &mut self,
        id: EndpointId,
        new: impl FnOnce() -> Server,
    ) -> &mut Server {
        let place = self.place(id).unwrap_or_else(|place| {
            self.0.insert(place, (id, new()));
            place
        });
        &mut self.0[place].1
    }
    pub(crate) fn at(&self, place: usize) -> &(EndpointId, Server) {
        &self.0[place]
    }
    pub(crate) fn values(&self) -> impl Iterator<Item = &Server> {
        self.0.iter().map(|s| &s.1)
    }
    pub(crate) fn values_mut(&mut self) -> impl Iterator<Item = &mut Server> {
        self.0.iter_mut().map(|s| &mut s.1)
    }
    /// Places of the listed servers.
    pub(crate) fn listed(&self) -> Vec<usize> {
        (0..self.0.len()).filter(|&i| self.0[i].1.listed).collect()
    }
}

#[derive(Debug, Clone, Copy)]
pub(crate) enum Timer {
    Deadline(RequestId),
    /// Look whether an attempt went astray.
    Stray(RequestId, usize),
    Held,
    Resubscribe,
    Sweep,
}

/// Spreads the bits of a number (the finaliser of SplitMix64).
pub(crate) fn mix(x: u64) -> u64 {
    let x = x.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

/// One gateway. It shares nothing with others but what the counter tells.
#[derive(Default)]
pub struct DecisionEngine {
    pub(crate) set: Settings,
    pub(crate) rng: fastrand::Rng,
    pub(crate) now: Timestamp,
    pub(crate) out: Vec<Action>,
    pub(crate) breaker: Breaker,
    /// Share of requests of usual worth that ask the counter, and that worth.
    pub(crate) ask: f64,
    pub(crate) usual_asked: f64,
    /// What the counter takes with no line before it, in seconds.
    pub(crate) no_line: f64,
    /// When that share was last cut.
    pub(crate) ask_cut: Timestamp,
    pub(crate) last_failed: Option<CustomerId>,
    /// When the counter last answered.
    pub(crate) heard_at: Timestamp,
    pub(crate) calls: FxHashMap<CounterKey, VecDeque<Call>>,
    pub(crate) customers: FxHashMap<CustomerId, Customer>,
    pub(crate) requests: FxHashMap<RequestId, Request>,
    pub(crate) servers: Servers,
    /// Servers that may be cold.
    pub(crate) cold: usize,
    /// When the bounds of the own part were last summed, and their sum.
    pub(crate) summed: (Timestamp, f64),
    /// Places of the listed servers, in an order that all gateways share.
    pub(crate) ring: Vec<usize>,
    pub(crate) timers: FxHashMap<TimerId, Timer>,
    /// Attempts out at all servers, their mean a server in calm, and the attempt seconds left in overload.
    pub(crate) out_now: f64,
    pub(crate) calm_out: f64,
    pub(crate) flight: f64,
    pub(crate) held: Vec<RequestId>,
    pub(crate) hold_timer: bool,
    pub(crate) retries: f64,
    pub(crate) flow: TokenBucket,
    /// Smoothed over all servers: time to answer, shares of attempts that failed and that tell of a jam.
    pub(crate) latency: f64,
    pub(crate) fail_share: f64,
    pub(crate) late_share: f64,
    /// When the last attempt was judged.
    pub(crate) judged: Timestamp,
    /// Part of the requests of usual worth that the servers can take, and the usual worth.
    pub(crate) pass: f64,
    pub(crate) usual_worth: f64,
    pub(crate) serial: u64,
    /// What zones should bear, and what is let in; none: sites are not watched.
    pub(crate) sites: Vec<ZoneShare>,
    pub(crate) floor: Option<SheddingThreshold>,
}
