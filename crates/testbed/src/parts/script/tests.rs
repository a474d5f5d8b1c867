//! Tests of `script`.

use super::*;

#[test]
fn what_outlasts_the_day_is_set_right_at_its_end() {
    let acts = vec![
        Timed {
            at: 100,
            act: Act::Load("shift=1".into()),
        },
        Timed {
            at: 9_950,
            act: Act::Load("shift=-1".into()),
        },
        Timed {
            at: 30_000,
            act: Act::Stall(0, false),
        },
    ];
    let kept = within(acts.clone(), 10_000);
    assert_eq!(
        kept,
        [
            acts[0].clone(),
            Timed {
                at: 10_000,
                act: Act::Stall(0, false)
            }
        ]
    );
}
