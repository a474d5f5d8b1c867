//! Tests of `proposal_progress`.

use super::*;
use crate::protocol::wire;

#[test]
fn each_stage_of_a_proposal_is_derived_from_its_verdict() {
    let progress_of = |verdict: Option<wire::Verdict>, in_force: Option<wire::InForce>| {
        progress(&ReadResponse {
            verdict,
            in_force,
            ..ReadResponse::default()
        })
    };
    let admitted = |set_version| {
        Some(wire::Verdict {
            admitted: true,
            set_version,
            ..wire::Verdict::default()
        })
    };
    let in_force_state = |version, in_force, missing: &[&str], unknown: &[&str]| {
        let names = |list: &[&str]| list.iter().map(|s| s.to_string()).collect();
        Some(wire::InForce {
            version,
            in_force,
            missing: names(missing),
            unknown: names(unknown),
        })
    };
    assert_eq!(progress_of(None, None), ProposalProgress::Pending);
    let rejected = wire::Verdict {
        reasons: vec!["x".into()],
        ..wire::Verdict::default()
    };
    assert_eq!(
        progress_of(Some(rejected), None),
        ProposalProgress::Rejected(vec!["x".into()])
    );
    assert_eq!(progress_of(admitted(0), None), ProposalProgress::Admitted);
    assert_eq!(
        progress_of(admitted(2), None),
        ProposalProgress::InForce {
            version: 2,
            unknown: vec![]
        }
    );
    let unacknowledged = ProposalProgress::Unacknowledged {
        version: 2,
        gateways: vec!["g1".into()],
    };
    assert_eq!(
        progress_of(admitted(2), in_force_state(2, false, &["g1"], &[])),
        unacknowledged
    );
    let in_force_except_departed = ProposalProgress::InForce {
        version: 2,
        unknown: vec!["g2".into()],
    };
    assert_eq!(
        progress_of(admitted(2), in_force_state(2, true, &[], &["g2"])),
        in_force_except_departed
    );
    assert_eq!(
        progress_of(admitted(2), in_force_state(3, true, &[], &[])),
        ProposalProgress::Superseded { version: 2, by: 3 }
    );
}
