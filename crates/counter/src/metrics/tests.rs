//! Tests of `metrics`.

use super::*;
use crate::state::Limits;

/// Metric names and labels that dashboards use; they must not change.
const LINES: [&str; 13] = [
    "chalkdeck_counter_answers_total{status=\"ok\"} 1",
    "chalkdeck_counter_answers_total{status=\"dataloss\"} 2",
    "chalkdeck_counter_answers_total{status=\"resourceexhausted\"} 0",
    "chalkdeck_counter_batch_adds_sum 3.0",
    "chalkdeck_counter_batch_adds_count 1",
    "chalkdeck_counter_write_seconds_sum 0.5",
    "chalkdeck_counter_write_seconds_count 1",
    "chalkdeck_counter_names 0",
    "chalkdeck_counter_callers 0",
    "chalkdeck_counter_waiting 7",
    "chalkdeck_counter_position 0",
    "chalkdeck_counter_epoch 4",
    "chalkdeck_counter_log_closed 1",
];

#[test]
fn metrics_are_recorded_then_text_has_them_under_their_names() {
    let metrics = Metrics::new();
    metrics.record_response(Code::Ok);
    metrics.record_response(Code::DataLoss);
    metrics.record_response(Code::DataLoss);
    metrics.record_batch(3);
    metrics.record_write(Duration::from_millis(500));
    metrics.set_log_closed(true);
    let text = metrics.text(&CounterState::new(Limits::default()), 4, 7);
    for line in LINES {
        assert!(text.lines().any(|other| other == line), "{line} in\n{text}");
    }
    assert_eq!(
        text.matches("chalkdeck_counter_answers_total{").count(),
        STATUS_CODE_COUNT as usize
    );
}
