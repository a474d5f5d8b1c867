//! Tests of `flow`.

use super::*;

#[test]
fn a_cut_holds_bytes_and_healing_delivers_them_in_order() {
    let (mut flow, mut out) = (Flow::default(), Vec::new());
    flow.push(b"one ", 10);
    flow.push(b"two", 5);
    flow.has_ended = true;
    let cut = DirectionFaults {
        is_cut: true,
        ..DirectionFaults::default()
    };
    assert_eq!(
        flow.write(50, &cut, &mut out)
            .expect("the writer accepts all bytes"),
        WriteStatus::Idle
    );
    assert!(out.is_empty());
    assert_eq!(
        flow.write(5, &DirectionFaults::default(), &mut out)
            .expect("the writer accepts all bytes"),
        WriteStatus::WaitUntil(10)
    );
    assert_eq!(
        flow.write(10, &DirectionFaults::default(), &mut out)
            .expect("the writer accepts all bytes"),
        WriteStatus::Ended
    );
    assert_eq!(out, b"one two");
}

#[test]
fn a_throughput_limit_delivers_that_many_bytes_a_second() {
    let (mut flow, mut out, mut now) = (Flow::default(), Vec::new(), 0);
    flow.push(&[7; 100], 0);
    let faults = DirectionFaults {
        bytes_per_second: 50,
        ..DirectionFaults::default()
    };
    while let WriteStatus::WaitUntil(due) = flow
        .write(now, &faults, &mut out)
        .expect("the writer accepts all bytes")
    {
        now = due;
    }
    assert_eq!((out.len(), now), (100, 1_900_000));
}
