//! Tests of `session`.

use super::*;

#[test]
fn answers_keep_the_order_of_their_commands() {
    let mut session = Session::default();
    let (a, b) = (session.wait(), session.wait());
    session.ready(Reply::Pong);
    session.answer(b, Reply::Integer(2));
    assert!(
        session.take_ready().is_empty(),
        "the first is still to come"
    );
    session.answer(a, Reply::Integer(1));
    assert_eq!(&session.take_ready()[..], b":1\r\n:2\r\n+PONG\r\n");
    session.answer(a, Reply::Integer(9));
    assert_eq!(session.pending(), 0);
}

#[test]
fn nothing_is_asked_before_the_password() {
    let mut session = Session::default();
    let ask = Command::Peek {
        customer: "a".into(),
    };
    let error = |reply: Option<Reply>, mark: &str| {
        assert!(
            matches!(&reply, Some(Reply::Error(e)) if e.starts_with(mark)),
            "{reply:?}"
        );
    };
    error(session.greet(&ask, b"secret"), "NOAUTH");
    error(
        session.greet(&Command::Auth("wrong".into()), b"secret"),
        "WRONGPASS",
    );
    assert_eq!(
        session.greet(&Command::Auth("secret".into()), b"secret"),
        Some(Reply::Ok)
    );
    assert_eq!(session.greet(&ask, b"secret"), None);
    error(
        Session::default().greet(&Command::Auth("x".into()), b""),
        "ERR Client sent AUTH",
    );
}
