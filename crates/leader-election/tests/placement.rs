//! Tests that elections are spread evenly over gateways and sites, with as few moves as possible.

use chalkdeck_leader_election::placement::{choose_leader, rebalance, Candidate, Reassignment};
use chalkdeck_leader_election::SessionId;
use proptest::prelude::*;

const SITES: [&str; 3] = ["north", "middle", "south"];

fn candidates(sites: &[usize]) -> Vec<Candidate<'static>> {
    sites
        .iter()
        .enumerate()
        .map(|(index, site)| Candidate {
            session: SessionId(index as u64 + 1),
            site: SITES[*site],
        })
        .collect()
}

fn elections_per_candidate(leaders: &[Option<SessionId>], all: &[Candidate]) -> Vec<usize> {
    all.iter()
        .map(|c| {
            leaders
                .iter()
                .filter(|leader| **leader == Some(c.session))
                .count()
        })
        .collect()
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, ..ProptestConfig::default() })]

    #[test]
    fn leaders_chosen_one_by_one_are_balanced(sites in prop::collection::vec(0..3usize, 1..20), elections in 1..64usize) {
        let all = candidates(&sites);
        let mut leaders = vec![None; elections];
        for i in 0..elections {
            leaders[i] = choose_leader(&leaders, &all, None);
        }
        let counts = elections_per_candidate(&leaders, &all);
        prop_assert!(counts.iter().max().unwrap() - counts.iter().min().unwrap() <= 1, "{counts:?}");
        prop_assert!(counts.iter().sum::<usize>() == elections);
    }

    #[test]
    fn rebalancing_terminates_in_a_balanced_state(sites in prop::collection::vec(0..3usize, 1..20),
                                               initial_leaders in prop::collection::vec(0..20usize, 1..64)) {
        let all = candidates(&sites);
        let mut leaders: Vec<Option<SessionId>> =
            initial_leaders.iter().map(|index| Some(SessionId((index % all.len()) as u64 + 1))).collect();
        let mut moves = 0;
        while let Some(Reassignment { election, to }) = rebalance(&leaders, &all) {
            prop_assert_ne!(leaders[election], Some(to));
            leaders[election] = Some(to);
            moves += 1;
            prop_assert!(moves <= 2 * leaders.len(), "rebalancing does not terminate");
        }
        let counts = elections_per_candidate(&leaders, &all);
        prop_assert!(counts.iter().max().unwrap() - counts.iter().min().unwrap() <= 1, "{counts:?}");
    }
}

#[test]
fn a_new_gateway_gets_its_share_with_the_fewest_moves() {
    let all = candidates(&[0, 1, 2, 0]);
    let mut leaders: Vec<Option<SessionId>> = (0..12).map(|i| Some(SessionId(i % 3 + 1))).collect();
    let mut moves = 0;
    while let Some(Reassignment { election, to }) = rebalance(&leaders, &all) {
        assert_eq!(to, SessionId(4));
        leaders[election] = Some(to);
        moves += 1;
    }
    assert_eq!(moves, 3, "a quarter of twelve");
}

#[test]
fn sites_are_balanced_and_the_excluded_gateway_is_avoided() {
    let all = candidates(&[0, 0, 0, 1]);
    let leader = |session| Some(SessionId(session));
    let leaders = [leader(1), leader(2), leader(3)];
    assert_eq!(
        rebalance(&leaders, &all),
        Some(Reassignment {
            election: 0,
            to: SessionId(4)
        })
    );
    assert_eq!(
        rebalance(&[leader(1), leader(4)], &all),
        None,
        "each site leads one election"
    );
    assert_eq!(choose_leader(&[None], &[], None), None);
    assert_eq!(
        choose_leader(&[None], &all, leader(1)),
        leader(2),
        "the excluded gateway is not chosen"
    );
    assert_eq!(
        choose_leader(&[None], &all[..1], leader(1)),
        leader(1),
        "unless it is the only candidate"
    );
    assert_eq!(
        choose_leader(&[None, leader(2)], &all, leader(1)),
        leader(4),
        "of the gateways that lead nothing, one whose site leads nothing either"
    );
}
