//! Tests of `session`.

use super::*;

#[test]
fn replies_are_sent_in_the_order_of_their_commands() {
    let mut session = Session::default();
    let (first, second) = (session.reserve_reply(), session.reserve_reply());
    session.push_reply(Reply::Pong);
    session.fill_reply(second, Reply::Integer(2));
    assert!(
        session.take_ready_replies().is_empty(),
        "the first reply is not known yet"
    );
    session.fill_reply(first, Reply::Integer(1));
    assert_eq!(&session.take_ready_replies()[..], b":1\r\n:2\r\n+PONG\r\n");
    session.fill_reply(first, Reply::Integer(9));
    assert_eq!(session.pending_replies(), 0);
}

#[test]
fn commands_are_rejected_until_the_client_has_authenticated() {
    let mut session = Session::default();
    let peek = Command::Peek {
        customer: "a".into(),
    };
    let assert_error = |reply: Option<Reply>, code: &str| {
        assert!(
            matches!(&reply, Some(Reply::Error(text)) if text.starts_with(code)),
            "{reply:?}"
        );
    };
    assert_error(
        session.handle_connection_command(&peek, b"secret"),
        "NOAUTH",
    );
    assert_error(
        session.handle_connection_command(&Command::Auth("wrong".into()), b"secret"),
        "WRONGPASS",
    );
    assert_eq!(
        session.handle_connection_command(&Command::Auth("secret".into()), b"secret"),
        Some(Reply::Ok)
    );
    assert_eq!(session.handle_connection_command(&peek, b"secret"), None);
    assert_error(
        Session::default().handle_connection_command(&Command::Auth("x".into()), b""),
        "ERR Client sent AUTH",
    );
}
