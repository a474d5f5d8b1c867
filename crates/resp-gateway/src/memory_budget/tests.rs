//! Tests of the memory budget.

use super::MemoryBudget;
use proptest::prelude::*;

const BYTES: usize = 8_000_000;
const SESSIONS: usize = 100;
/// What each session is guaranteed of `BYTES`.
const GUARANTEED: usize = BYTES / 4 / SESSIONS;

#[test]
fn one_session_takes_all_it_can_then_another_still_gets_as_much_of_the_rest() {
    let mut budget = MemoryBudget::new(BYTES, SESSIONS);
    let mut held = 0;
    while budget.allows(held, 10_000) {
        budget.update(held, held + 10_000);
        held += 10_000;
    }
    assert!((2_900_000..3_200_000).contains(&held), "{held} bytes");
    assert!(
        budget.allows(0, 2_000_000),
        "nothing is left for another session"
    );
}

proptest! {
    /// Sessions that take whatever they are allowed never exceed the budget, and none is refused its guaranteed part.
    #[test]
    fn sessions_take_all_they_are_allowed_then_the_budget_is_kept(
        steps in prop::collection::vec((0..SESSIONS, 1_usize..130_000, any::<bool>()), 1..2_000)
    ) {
        let mut budget = MemoryBudget::new(BYTES, SESSIONS);
        let mut held = [0_usize; SESSIONS];
        for (session, bytes, releases) in steps {
            let before = held[session];
            if releases {
                held[session] = before.saturating_sub(bytes);
            } else if budget.allows(before, bytes) {
                held[session] = before + bytes;
            } else {
                prop_assert!(before + bytes > GUARANTEED);
            }
            budget.update(before, held[session]);
            prop_assert_eq!(budget.used(), held.iter().sum::<usize>());
            prop_assert!(budget.used() <= BYTES);
        }
    }
}
