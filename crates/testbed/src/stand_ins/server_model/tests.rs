//! Tests of `server_model`.

use super::*;

fn spec() -> ServerSpec {
    ServerSpec {
        cores: 2,
        queue_capacity: 1,
        slow_start_min_capacity: 0.25,
        slow_start_us: 10_000_000,
        overload_multiple: 2.0,
        overload_duration_us: 1_000_000,
        ignores_cancel: false,
    }
}

#[test]
fn calls_get_a_core_then_queue_then_are_rejected() {
    let mut model = ServerModel::new(
        ServerSpec {
            slow_start_us: 0,
            ..spec()
        },
        0,
    );
    let admissions: Vec<Admission> = (0..4).map(|i| model.arrive(0, i, 100)).collect();
    assert_eq!(
        admissions,
        [
            Admission::Started(100),
            Admission::Started(100),
            Admission::Queued,
            Admission::QueueFull
        ]
    );
    assert_eq!(
        model.finish(50, 0, true),
        Some((2, 100)),
        "a cancelled call frees its core"
    );
    assert_eq!(model.finish(60, 1, false), None);
}

#[test]
fn server_in_slow_start_is_slow_and_collapses_under_overload() {
    let mut model = ServerModel::new(spec(), 0);
    assert_eq!(model.arrive(0, 0, 100_000), Admission::Started(400_000));
    // The limit is 2 x 0.25 x 2 cores x 1 s = 1 s of work within a second.
    let collapsed_at = (1..20).find(|&i| model.arrive(i, i, 100_000) == Admission::Collapsed);
    assert_eq!(collapsed_at, Some(10));
    assert_eq!(
        model.arrive(9_999_999, 99, 1),
        Admission::Collapsed,
        "a collapsed server stays down"
    );
    let mut warm = ServerModel::new(spec(), 0);
    assert!((0..100).all(|i| warm.arrive(10_000_000, i, 100_000) != Admission::Collapsed));
}
