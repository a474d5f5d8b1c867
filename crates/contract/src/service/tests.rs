//! Tests of `service`.

use super::*;

#[test]
fn unadmitted_versions_wait_unless_there_is_no_other() {
    let admits = |service: &str, version: &str| service == "farm.v1.Farm" && version == "1";
    let (one, two) = (Some("farm.v1.Farm 1"), Some("farm.v1.Farm 2"));
    let hold = |list: &[(bool, Option<&str>)]| hold_back(list.iter().copied(), admits);
    assert_eq!(
        hold(&[(true, one), (true, two), (true, None)]).held,
        [false, true, false]
    );
    let all = hold(&[(true, two), (true, two)]);
    assert_eq!((all.held, all.last_resort), (vec![false, false], true));
    // A server that drains is no other to take calls.
    assert!(hold(&[(false, one), (true, two)]).last_resort);
    assert!(!hold(&[(false, two)]).last_resort);
}
