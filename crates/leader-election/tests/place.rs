//! Duties spread evenly and move as little as that takes.

use chalkdeck_leader_election::place::{move_one, taker, Candidate};
use proptest::prelude::*;

const SITES: [&str; 3] = ["north", "middle", "south"];

fn candidates(sites: &[usize]) -> Vec<Candidate<'static>> {
    sites
        .iter()
        .enumerate()
        .map(|(i, s)| Candidate {
            session: i as u64 + 1,
            site: SITES[*s],
        })
        .collect()
}

fn counts(holders: &[Option<u64>], all: &[Candidate]) -> Vec<usize> {
    all.iter()
        .map(|c| holders.iter().filter(|h| **h == Some(c.session)).count())
        .collect()
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, ..ProptestConfig::default() })]

    #[test]
    fn what_is_taken_one_by_one_is_even_at_once(sites in prop::collection::vec(0..3usize, 1..20), duties in 1..64usize) {
        let all = candidates(&sites);
        let mut holders = vec![None; duties];
        for i in 0..duties {
            holders[i] = taker(&holders, &all, None);
        }
        let held = counts(&holders, &all);
        prop_assert!(held.iter().max().unwrap() - held.iter().min().unwrap() <= 1, "{held:?}");
        prop_assert!(held.iter().sum::<usize>() == duties);
    }

    #[test]
    fn moves_end_and_leave_it_even(sites in prop::collection::vec(0..3usize, 1..20),
                                   held in prop::collection::vec(0..20usize, 1..64)) {
        let all = candidates(&sites);
        let mut holders: Vec<Option<u64>> = held.iter().map(|h| Some((h % all.len()) as u64 + 1)).collect();
        let mut moves = 0;
        while let Some((duty, to)) = move_one(&holders, &all) {
            prop_assert_ne!(holders[duty], Some(to));
            holders[duty] = Some(to);
            moves += 1;
            prop_assert!(moves <= 2 * holders.len(), "it does not come to an end");
        }
        let held = counts(&holders, &all);
        prop_assert!(held.iter().max().unwrap() - held.iter().min().unwrap() <= 1, "{held:?}");
    }
}

#[test]
fn one_gateway_more_takes_its_part_and_no_more() {
    let all = candidates(&[0, 1, 2, 0]);
    let mut holders: Vec<Option<u64>> = (0..12).map(|i| Some(i % 3 + 1)).collect();
    let mut moves = 0;
    while let Some((duty, to)) = move_one(&holders, &all) {
        assert_eq!(to, 4);
        holders[duty] = Some(to);
        moves += 1;
    }
    assert_eq!(moves, 3, "a quarter of twelve");
}

#[test]
fn a_site_that_holds_nothing_gets_its_part() {
    let all = candidates(&[0, 0, 0, 1]);
    let holders: Vec<Option<u64>> = vec![Some(1), Some(2), Some(3)];
    assert_eq!(move_one(&holders, &all), Some((0, 4)));
    assert_eq!(
        move_one(&[Some(1), Some(4)], &all),
        None,
        "each site holds one"
    );
    assert_eq!(taker(&[None], &[], None), None);
    assert_eq!(
        taker(&[None], &all, Some(1)),
        Some(2),
        "another than the one that lets go"
    );
    assert_eq!(
        taker(&[None], &all[..1], Some(1)),
        Some(1),
        "unless there is no other"
    );
    assert_eq!(
        taker(&[None, Some(2)], &all, Some(1)),
        Some(4),
        "of those that hold none, the one whose site does"
    );
}
