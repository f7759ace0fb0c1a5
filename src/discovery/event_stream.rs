//! An incremental decoder of the watch connection's response: server-sent events over HTTP.

use std::net::SocketAddr;

use httparse::Status;

use super::DiscoveryError;
use crate::net::Buffer;

/// The maximum size in bytes of a line, a chunk or an event; a larger one is an error.
pub const READ_LIMIT_BYTES: usize = 4 << 20;
/// The maximum size of the response head in bytes.
const MAX_HEAD_BYTES: usize = 16 * 1024;
/// The maximum number of headers in the response head.
const MAX_HEADERS: usize = 32;
/// The size of the line end after a chunk in bytes.
const CHUNK_END_BYTES: usize = 2;

/// The framing of the rest of the response.
#[derive(Debug, Default, PartialEq, Eq)]
enum Framing {
    /// The head has not been read.
    #[default]
    Head,
    /// The body extends to the end of the connection.
    UntilClose,
    /// The body is chunked; the value is the number of bytes left in the current chunk, including its line end.
    Chunked(usize),
    /// The last chunk has been read.
    Ended,
}

/// Whether decoding can continue with the buffered input.
#[derive(PartialEq, Eq)]
enum Progress {
    Advanced,
    NeedsInput,
}

/// The decoder of one watch connection.
#[derive(Debug, Default)]
pub struct WatchStream {
    framing: Framing,
    text: Vec<u8>,
    id: Option<String>,
    data: String,
    /// Whether a comment outside any event has been decoded since the last [`WatchStream::take_heartbeat`].
    heartbeat: bool,
}

/// One server-sent event.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerSentEvent {
    /// Its `id`, if it is a number.
    pub id: Option<u64>,
    /// Its `data`.
    pub data: String,
}

impl WatchStream {
    /// Returns the request for all events after `last_revision`.
    pub fn request(server: SocketAddr, last_revision: u64) -> Vec<u8> {
        format!(
            "GET /board/poll HTTP/1.1\r\nHost: {server}\r\nAccept: text/event-stream\r\n\
             Cache-Control: no-cache\r\nLast-Event-ID: {last_revision}\r\n\r\n"
        )
        .into_bytes()
    }

    /// Returns whether the response head has been decoded.
    pub fn has_answered(&self) -> bool {
        self.framing != Framing::Head
    }

    /// Returns whether the final chunk has been decoded.
    pub fn has_ended(&self) -> bool {
        self.framing == Framing::Ended
    }

    /// Returns whether a heartbeat, a complete comment outside any event, has arrived since the last call. A comment
    /// inside an event does not count, as the update of that event is still incomplete.
    pub fn take_heartbeat(&mut self) -> bool {
        std::mem::take(&mut self.heartbeat)
    }

    /// Returns whether the decoded input ends within a line or an event.
    pub fn is_incomplete(&self) -> bool {
        !self.text.is_empty() || self.id.is_some() || !self.data.is_empty()
    }

    /// Decodes the input and appends the complete events to `events`.
    ///
    /// # Errors
    ///
    /// [`DiscoveryError::Head`] or [`DiscoveryError::Chunk`]; the connection must then be closed.
    pub fn read_events(
        &mut self,
        input: &mut Buffer,
        events: &mut Vec<ServerSentEvent>,
    ) -> Result<(), DiscoveryError> {
        loop {
            let progress = match self.framing {
                Framing::Head => self.read_head(input)?,
                Framing::UntilClose => {
                    let size = input.bytes().len();
                    self.text.extend(input.bytes());
                    input.consume(size);
                    self.split_lines(events)?;
                    Progress::NeedsInput
                }
                Framing::Chunked(0) => self.read_chunk_size(input)?,
                Framing::Chunked(remaining_bytes) => {
                    self.read_chunk(remaining_bytes, input, events)?
                }
                Framing::Ended => Progress::NeedsInput,
            };
            if progress == Progress::NeedsInput {
                return Ok(());
            }
        }
    }

    fn read_head(&mut self, input: &mut Buffer) -> Result<Progress, DiscoveryError> {
        let bytes = input.bytes();
        let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut head = httparse::Response::new(&mut headers);
        let size = match head.parse(bytes) {
            Ok(Status::Complete(size)) => size,
            Ok(Status::Partial) if bytes.len() < MAX_HEAD_BYTES => return Ok(Progress::NeedsInput),
            Ok(Status::Partial) => {
                return Err(DiscoveryError::Head("the head is too large".into()))
            }
            Err(error) => return Err(DiscoveryError::Head(error.to_string())),
        };
        let status = head.code.unwrap_or(0);
        if status != 200 {
            return Err(DiscoveryError::Head(format!("status {status}")));
        }
        let chunked = head.headers.iter().any(|header| {
            header.name.eq_ignore_ascii_case("transfer-encoding")
                && header.value.to_ascii_lowercase().ends_with(b"chunked")
        });
        self.framing = if chunked {
            Framing::Chunked(0)
        } else {
            Framing::UntilClose
        };
        input.consume(size);
        Ok(Progress::Advanced)
    }

    fn read_chunk_size(&mut self, input: &mut Buffer) -> Result<Progress, DiscoveryError> {
        match httparse::parse_chunk_size(input.bytes()) {
            Ok(Status::Complete((_, 0))) => {
                self.framing = Framing::Ended;
                Ok(Progress::NeedsInput)
            }
            Ok(Status::Complete((line, size))) if size < READ_LIMIT_BYTES as u64 => {
                input.consume(line);
                self.framing = Framing::Chunked(size as usize + CHUNK_END_BYTES);
                Ok(Progress::Advanced)
            }
            Ok(Status::Partial) => Ok(Progress::NeedsInput),
            Ok(Status::Complete(_)) | Err(_) => Err(DiscoveryError::Chunk),
        }
    }

    fn read_chunk(
        &mut self,
        remaining_bytes: usize,
        input: &mut Buffer,
        events: &mut Vec<ServerSentEvent>,
    ) -> Result<Progress, DiscoveryError> {
        let bytes = input.bytes();
        if bytes.is_empty() {
            return Ok(Progress::NeedsInput);
        }
        let taken = remaining_bytes.min(bytes.len());
        let payload = taken.min(remaining_bytes.saturating_sub(CHUNK_END_BYTES));
        self.text.extend(&bytes[..payload]);
        input.consume(taken);
        self.framing = Framing::Chunked(remaining_bytes - taken);
        self.split_lines(events)?;
        Ok(Progress::Advanced)
    }

    fn split_lines(&mut self, events: &mut Vec<ServerSentEvent>) -> Result<(), DiscoveryError> {
        let mut start = 0;
        while let Some(length) = self.text[start..].iter().position(|byte| *byte == b'\n') {
            let line = String::from_utf8_lossy(&self.text[start..start + length]).into_owned();
            start += length + 1;
            self.parse_line(line.strip_suffix('\r').unwrap_or(&line), events);
        }
        self.text.drain(..start);
        if self.text.len() + self.data.len() > READ_LIMIT_BYTES {
            return Err(DiscoveryError::Head("an event is too large".into()));
        }
        Ok(())
    }

    fn parse_line(&mut self, line: &str, events: &mut Vec<ServerSentEvent>) {
        if line.is_empty() {
            events.extend(self.take_event());
            return;
        }
        if line.starts_with(':') {
            self.heartbeat |= self.id.is_none() && self.data.is_empty();
            return;
        }
        let (field, value) = line.split_once(':').unwrap_or((line, ""));
        let value = value.strip_prefix(' ').unwrap_or(value);
        match field {
            "id" => self.id = Some(value.to_owned()),
            "data" => {
                if !self.data.is_empty() {
                    self.data.push('\n');
                }
                self.data.push_str(value);
            }
            // Other fields are ignored.
            _ => {}
        }
    }

    /// Returns the event that an empty line completes, if it has data.
    fn take_event(&mut self) -> Option<ServerSentEvent> {
        let id = self.id.take();
        let data = std::mem::take(&mut self.data);
        if data.is_empty() {
            return None;
        }
        Some(ServerSentEvent {
            id: id.and_then(|id| id.trim().parse().ok()),
            data,
        })
    }
}
