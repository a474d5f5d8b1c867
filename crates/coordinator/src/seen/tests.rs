//! Tests of `seen`.

use super::*;

#[test]
fn calls_count_by_kind_and_version_up_to_the_bound() {
    let mut counted = Counted::default();
    let call = |path| Call {
        caller_region: "eu",
        gateway_region: "north",
        path,
        class: "view",
    };
    for _ in 0..3 {
        counted.came("a", &call("/farm.v1.Farm/View"), Some("2"));
    }
    counted.came("a", &call("/farm.v1.Farm/View"), None);
    counted.came("a", &call("TAKE"), None);
    let (mut spoke, seen) = counted.report();
    spoke.sort_by_key(|s| s.calls);
    let told: Vec<_> = spoke
        .iter()
        .map(|s| (s.service.as_str(), s.version.as_str(), s.calls))
        .collect();
    assert_eq!(
        told,
        [("farm.v1.Farm", UNVERSIONED, 1), ("farm.v1.Farm", "2", 3)]
    );
    assert_eq!(seen.iter().map(|s| s.count).sum::<u64>(), 5);
    assert!(counted.is_empty());
    for i in 0..MOST as u64 + 5 {
        counted.came(&i.to_string(), &call("TAKE"), None);
    }
    assert_eq!(
        counted.left_out, 5,
        "beyond the bound they are counted as left out"
    );
}
