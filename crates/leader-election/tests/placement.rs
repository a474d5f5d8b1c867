//! Elections are spread evenly, and moved as little as that takes.

use chalkdeck_leader_election::placement::{choose_leader, rebalance, Candidate, Reassignment};
use chalkdeck_leader_election::SessionId;
use proptest::prelude::*;

const SITES: [&str; 3] = ["north", "middle", "south"];

fn candidates(sites: &[usize]) -> Vec<Candidate<'static>> {
    sites
        .iter()
        .enumerate()
        .map(|(place, site)| Candidate {
            session: SessionId(place as u64 + 1),
            site: SITES[*site],
        })
        .collect()
}

fn led_by_each(leaders: &[Option<SessionId>], all: &[Candidate]) -> Vec<usize> {
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
        let led = led_by_each(&leaders, &all);
        prop_assert!(led.iter().max().unwrap() - led.iter().min().unwrap() <= 1, "{led:?}");
        prop_assert!(led.iter().sum::<usize>() == elections);
    }

    #[test]
    fn rebalancing_ends_and_leaves_it_balanced(sites in prop::collection::vec(0..3usize, 1..20),
                                               led in prop::collection::vec(0..20usize, 1..64)) {
        let all = candidates(&sites);
        let mut leaders: Vec<Option<SessionId>> =
            led.iter().map(|place| Some(SessionId((place % all.len()) as u64 + 1))).collect();
        let mut moves = 0;
        while let Some(Reassignment { election, to }) = rebalance(&leaders, &all) {
            prop_assert_ne!(leaders[election], Some(to));
            leaders[election] = Some(to);
            moves += 1;
            prop_assert!(moves <= 2 * leaders.len(), "it does not come to an end");
        }
        let led = led_by_each(&leaders, &all);
        prop_assert!(led.iter().max().unwrap() - led.iter().min().unwrap() <= 1, "{led:?}");
    }
}

#[test]
fn a_new_gateway_takes_its_share_and_no_more() {
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
fn a_site_that_leads_nothing_gets_its_share() {
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
        "each site leads one"
    );
    assert_eq!(choose_leader(&[None], &[], None), None);
    assert_eq!(
        choose_leader(&[None], &all, leader(1)),
        leader(2),
        "another one than the leader that steps down"
    );
    assert_eq!(
        choose_leader(&[None], &all[..1], leader(1)),
        leader(1),
        "unless there is no other"
    );
    assert_eq!(
        choose_leader(&[None, leader(2)], &all, leader(1)),
        leader(4),
        "of those that lead none, the one whose site does not either"
    );
}
