//! Tests of `apply`.

use super::*;

#[test]
fn each_step_is_told_for_what_it_is() {
    let look = |verdict: Option<wire::Verdict>, in_force: Option<wire::InForce>| {
        progress(&wire::LookAnswer {
            verdict,
            in_force,
            ..wire::LookAnswer::default()
        })
    };
    let admitted = |set_version| {
        Some(wire::Verdict {
            admitted: true,
            set_version,
            ..wire::Verdict::default()
        })
    };
    let force = |version, in_force, missing: &[&str], unknown: &[&str]| {
        let names = |list: &[&str]| list.iter().map(|s| s.to_string()).collect();
        Some(wire::InForce {
            version,
            in_force,
            missing: names(missing),
            unknown: names(unknown),
        })
    };
    assert_eq!(look(None, None), Progress::Waits);
    let no = wire::Verdict {
        breaks: vec!["x".into()],
        ..wire::Verdict::default()
    };
    assert_eq!(look(Some(no), None), Progress::Rejected(vec!["x".into()]));
    assert_eq!(look(admitted(0), None), Progress::Admitted);
    assert_eq!(
        look(admitted(2), None),
        Progress::InForce {
            version: 2,
            unknown: vec![]
        }
    );
    let missing = Progress::Missing {
        version: 2,
        gateways: vec!["g1".into()],
    };
    assert_eq!(look(admitted(2), force(2, false, &["g1"], &[])), missing);
    let but = Progress::InForce {
        version: 2,
        unknown: vec!["g2".into()],
    };
    assert_eq!(look(admitted(2), force(2, true, &[], &["g2"])), but);
    assert_eq!(
        look(admitted(2), force(3, true, &[], &[])),
        Progress::Followed { version: 2, by: 3 }
    );
}
