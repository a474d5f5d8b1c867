//! Size limits of received messages.

/// The size limits of one kind of message. At most `max_message_bytes` are buffered for a message that is incomplete.
#[derive(Clone, Copy, Debug)]
pub struct MessageLimits {
    /// The maximum number of words in a command, or of items in a reply.
    pub max_elements: usize,
    /// The maximum length of one word or bulk string.
    pub max_element_bytes: usize,
    /// The maximum length of a line, which is a reply without a stated length: a simple string, an error or an integer.
    pub max_line_bytes: usize,
    /// The maximum length of a message.
    pub max_message_bytes: usize,
    /// Whether inline commands are accepted: lines of words separated by whitespace, as typed by hand.
    pub accepts_inline: bool,
}
