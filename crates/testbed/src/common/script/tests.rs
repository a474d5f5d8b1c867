//! Tests of `script`.

use super::*;

#[test]
fn faults_that_outlast_the_load_are_reverted_at_its_end() {
    let actions = vec![
        TimedAction {
            at_ms: 100,
            action: ScriptAction::Load("shift=1".into()),
        },
        TimedAction {
            at_ms: 9_950,
            action: ScriptAction::Load("shift=-1".into()),
        },
        TimedAction {
            at_ms: 30_000,
            action: ScriptAction::Stall(0, false),
        },
    ];
    let kept = clip_to_duration(actions.clone(), 10_000);
    assert_eq!(
        kept,
        [
            actions[0].clone(),
            TimedAction {
                at_ms: 10_000,
                action: ScriptAction::Stall(0, false)
            }
        ]
    );
}
