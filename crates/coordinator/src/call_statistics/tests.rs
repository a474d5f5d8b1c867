//! Tests of `call_statistics`.

use super::*;

#[test]
fn calls_are_counted_by_kind_and_version_up_to_the_entry_limit() {
    let mut statistics = CallStatistics::default();
    let call = |path| Call {
        caller_region: "eu",
        gateway_region: "north",
        path,
        class: "view",
    };
    for _ in 0..3 {
        statistics.record("a", &call("/farm.v1.Farm/View"), Some("2"));
    }
    statistics.record("a", &call("/farm.v1.Farm/View"), None);
    statistics.record("a", &call("TAKE"), None);
    let mut report = wire::Report::default();
    statistics.drain_into(&mut report);
    report
        .version_calls
        .sort_by_key(|version_calls| version_calls.calls);
    let versions: Vec<_> = report
        .version_calls
        .iter()
        .map(|v| (v.service.as_str(), v.version.as_str(), v.calls))
        .collect();
    assert_eq!(
        versions,
        [("farm.v1.Farm", UNVERSIONED, 1), ("farm.v1.Farm", "2", 3)]
    );
    assert_eq!(
        report
            .call_counts
            .iter()
            .map(|call_count| call_count.count)
            .sum::<u64>(),
        5
    );
    assert!(statistics.is_empty());
    for i in 0..MAX_ENTRIES as u64 + 5 {
        statistics.record(&i.to_string(), &call("TAKE"), None);
    }
    assert_eq!(
        statistics.dropped_increments, 5,
        "calls beyond the limit are counted as dropped"
    );
}
