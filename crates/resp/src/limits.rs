//! Limits of the messages that are read.

/// The limits of one kind of message. No more than `max_message_bytes` is ever buffered for one.
#[derive(Clone, Copy, Debug)]
pub struct MessageLimits {
    /// The most words of a command, or items of a reply.
    pub max_elements: usize,
    /// The most bytes of one word or item.
    pub max_element_bytes: usize,
    /// The most bytes of a line, that is of a reply without a length.
    pub max_line_bytes: usize,
    /// The most bytes of a message.
    pub max_message_bytes: usize,
    /// Commands may also arrive as a line of words, as they are typed by hand.
    pub accepts_inline: bool,
}
