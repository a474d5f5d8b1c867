//! Placement of leaders: spreads the elections evenly over gateways and sites with as few moves as possible.
//!
//! The elections are passed as a slice that holds the session of each election's leader, or `None` if it has no leader.

use crate::SessionId;
use std::cmp::Reverse;

/// Minimum difference in led elections between two gateways, or two sites, at which an election is moved between them.
const MIN_IMBALANCE: usize = 2;

/// A gateway that can lead elections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Candidate<'a> {
    /// The gateway's session.
    pub session: SessionId,
    /// The site of the gateway.
    pub site: &'a str,
}

/// Moves one election to another leader.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Reassignment {
    /// The index of the election in the slice of leaders.
    pub election: usize,
    /// The session of the new leader.
    pub to: SessionId,
}

/// The number of elections led by a candidate and by all candidates of its site. Ordered by the candidate's own number first.
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

/// Chooses a leader for an election that has none: the candidate that leads the fewest elections. Ties go to the site that leads
/// the fewest, then to the smallest session id, which is the oldest session. `excluded` is chosen only if it is the only candidate.
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

/// Returns a move from the most loaded candidate to the least loaded one, or `None` if the elections are balanced already. A move
/// is due if the two candidates differ by at least [`MIN_IMBALANCE`] elections, or if they differ by one and their sites by at
/// least [`MIN_IMBALANCE`].
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
