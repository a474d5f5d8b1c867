//! Tests of `request_buffer`.

use super::{Appended, RequestBuffer};
use bytes::Bytes;

fn bytes(count: usize) -> Bytes {
    Bytes::from(vec![0; count])
}

#[test]
fn short_body_is_buffered_and_replayed_whole() {
    let mut buffer = RequestBuffer::new(10, false);
    assert_eq!(
        buffer.append(&bytes(6), false),
        Appended {
            window_bytes: 6,
            is_discarded: false
        }
    );
    for _ in 0..2 {
        let mut replay = buffer.replay();
        assert_eq!(
            (
                replay.chunks.len(),
                replay.returned_bytes,
                replay.is_discarded
            ),
            (1, 6, false)
        );
        assert_eq!(
            buffer.record_sent(&mut replay.returned_bytes, 6),
            0,
            "its window was returned when it was received"
        );
    }
}

#[test]
fn long_body_withholds_window_and_is_sent_once() {
    let mut buffer = RequestBuffer::new(10, false);
    assert_eq!(buffer.append(&bytes(8), false).window_bytes, 8);
    assert_eq!(
        buffer.append(&bytes(8), false),
        Appended {
            window_bytes: 0,
            is_discarded: false
        },
        "no window is returned beyond the limit"
    );
    let mut replay = buffer.replay();
    assert!(replay.is_discarded && replay.returned_bytes == 8);
    assert_eq!(buffer.record_sent(&mut replay.returned_bytes, 16), 8);
    assert_eq!(buffer.append(&bytes(5), true), Appended::default());
    assert_eq!(buffer.record_sent(&mut replay.returned_bytes, 5), 5);
}

#[test]
fn window_that_one_attempt_did_not_return_is_returned_by_the_next() {
    let mut buffer = RequestBuffer::new(100, false);
    let mut first = buffer.replay();
    buffer.append(&bytes(40), true);
    assert_eq!(buffer.record_sent(&mut first.returned_bytes, 10), 10);
    let mut second = buffer.replay();
    assert_eq!(second.returned_bytes, 10);
    assert_eq!(buffer.record_sent(&mut second.returned_bytes, 40), 30);
}

#[test]
fn body_that_exceeds_the_limit_while_it_is_sent_is_discarded_once() {
    let mut buffer = RequestBuffer::new(10, false);
    buffer.replay();
    let discarded: Vec<bool> = (0..4)
        .map(|_| buffer.append(&bytes(6), true).is_discarded)
        .collect();
    assert_eq!(discarded, [false, true, false, false]);
}
