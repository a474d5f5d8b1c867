//! Which gateway leads which election: evenly over gateways and sites, with as few moves as possible.
//!
//! Elections are given as a slice with the session of each one's leader, or `None` where it has none.

use crate::SessionId;
use std::cmp::Reverse;

/// How many more elections a gateway or site must lead than another before one is moved.
const MIN_IMBALANCE: usize = 2;

/// A gateway that may lead elections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Candidate<'a> {
    /// Its session.
    pub session: SessionId,
    /// The site it is in.
    pub site: &'a str,
}

/// A move of one election to another leader.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Reassignment {
    /// The place of the election in the slice of leaders.
    pub election: usize,
    /// The session that is to lead it.
    pub to: SessionId,
}

/// Elections led by a candidate and by its whole site; the candidate's own number compares first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Load {
    own: usize,
    site: usize,
}

impl Load {
    fn of(candidate: &Candidate, leaders: &[Option<SessionId>], candidates: &[Candidate]) -> Load {
        let led_by = |session: SessionId| {
            let is_leader = |leader: &&Option<SessionId>| **leader == Some(session);
            leaders.iter().filter(is_leader).count()
        };
        let same_site = candidates.iter().filter(|c| c.site == candidate.site);
        Load {
            own: led_by(candidate.session),
            site: same_site.map(|c| led_by(c.session)).sum(),
        }
    }
}

/// The candidate that is to lead an election without a leader: the one that leads least, of those the one in the site that leads
/// least, of those the one with the smallest session id, the oldest. `excluded` is chosen only if it is the single candidate.
pub fn choose_leader(
    leaders: &[Option<SessionId>],
    candidates: &[Candidate],
    excluded: Option<SessionId>,
) -> Option<SessionId> {
    candidates
        .iter()
        .filter(|c| Some(c.session) != excluded || candidates.len() == 1)
        .min_by_key(|c| (Load::of(c, leaders, candidates), c.session))
        .map(|c| c.session)
}

/// The one move that balances best, or `None` if no move makes the most loaded lead less without another leading as much, over
/// gateways first and then over sites.
pub fn rebalance(leaders: &[Option<SessionId>], candidates: &[Candidate]) -> Option<Reassignment> {
    let load = |c: &Candidate| Load::of(c, leaders, candidates);
    let target = candidates.iter().min_by_key(|c| (load(c), c.session))?;
    let source = candidates
        .iter()
        .max_by_key(|c| (load(c), Reverse(c.session)))?;
    let target_load = load(target);
    let source_load = load(source);
    let balances_gateways = source_load.own >= target_load.own + MIN_IMBALANCE;
    let balances_sites = source_load.own > target_load.own
        && source.site != target.site
        && source_load.site >= target_load.site + MIN_IMBALANCE;
    if !balances_gateways && !balances_sites {
        return None;
    }
    let election = leaders
        .iter()
        .position(|leader| *leader == Some(source.session))?;
    Some(Reassignment {
        election,
        to: target.session,
    })
}
