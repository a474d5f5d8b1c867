//! Which gateway holds which duty: evenly over gateways and sites, with as few moves as that takes.

/// A gateway that may hold duties.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Candidate<'a> {
    /// Its session.
    pub session: u64,
    /// Where it stands.
    pub site: &'a str,
}

/// How much each candidate and its site hold.
fn loads(holders: &[Option<u64>], candidates: &[Candidate], of: &Candidate) -> (usize, usize) {
    let held = |session: u64| holders.iter().filter(|h| **h == Some(session)).count();
    let site = candidates
        .iter()
        .filter(|c| c.site == of.site)
        .map(|c| held(c.session))
        .sum();
    (held(of.session), site)
}

/// Who takes a duty that nobody holds: the one that holds least, of those the one in the site that holds least, of those
/// the one with the smallest session, the oldest. None: there is no candidate.
pub fn taker(
    holders: &[Option<u64>],
    candidates: &[Candidate],
    except: Option<u64>,
) -> Option<u64> {
    let fit = candidates
        .iter()
        .filter(|c| Some(c.session) != except || candidates.len() == 1);
    fit.min_by_key(|c| {
        let (own, site) = loads(holders, candidates, c);
        (own, site, c.session)
    })
    .map(|c| c.session)
}

/// The one move that evens out best: the place of a duty and who takes it over. None: no move makes the most loaded hold less without
/// another holding as much, over gateways first and then over sites.
pub fn move_one(holders: &[Option<u64>], candidates: &[Candidate]) -> Option<(usize, u64)> {
    let load = |c: &Candidate| loads(holders, candidates, c);
    let to = candidates.iter().min_by_key(|c| (load(c), c.session))?;
    let from = candidates
        .iter()
        .max_by_key(|c| (load(c), std::cmp::Reverse(c.session)))?;
    let ((own_to, site_to), (own_from, site_from)) = (load(to), load(from));
    let evens_gateways = own_from >= own_to + 2;
    let evens_sites = own_from > own_to && from.site != to.site && site_from >= site_to + 2;
    if !evens_gateways && !evens_sites {
        return None;
    }
    let duty = holders.iter().position(|h| *h == Some(from.session))?;
    Some((duty, to.session))
}
