//! Tests of `model`.

use super::*;

fn build() -> Build {
    Build {
        cores: 2,
        room: 1,
        cold_from: 0.25,
        cold: 10_000_000,
        fall_multiple: 2.0,
        tip_after: 1_000_000,
        runs_on: false,
    }
}

#[test]
fn cores_then_room_then_full() {
    let mut m = Model::new(Build { cold: 0, ..build() }, 0);
    let got: Vec<Admit> = (0..4).map(|i| m.arrive(0, i, 100)).collect();
    assert_eq!(
        got,
        [
            Admit::Runs(100),
            Admit::Runs(100),
            Admit::Waits,
            Admit::Full
        ]
    );
    assert_eq!(
        m.leave(50, 0, true),
        Some((2, 100)),
        "a called off call makes room"
    );
    assert_eq!(m.leave(60, 1, false), None);
}

#[test]
fn a_cold_server_is_slow_and_falls_when_pushed() {
    let mut m = Model::new(build(), 0);
    assert_eq!(m.arrive(0, 0, 100_000), Admit::Runs(400_000));
    // It bears 2 x 0.25 x 2 cores x 1 s = 1 s of work within a second.
    let fell = (1..20).find(|&i| m.arrive(i, i, 100_000) == Admit::Fell);
    assert_eq!(fell, Some(10));
    assert_eq!(m.arrive(9_999_999, 99, 1), Admit::Fell, "it stays down");
    let mut warm = Model::new(build(), 0);
    assert!((0..100).all(|i| warm.arrive(10_000_000, i, 100_000) != Admit::Fell));
}
