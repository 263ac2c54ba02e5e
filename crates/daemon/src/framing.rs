//! Follows the framing of a caller's byte stream to find heads with contradictory lengths.
//!
//! hyper drops a Content-Length next to a Transfer-Encoding before the request is seen, so the
//! contradiction is visible only in the bytes.

/// Reads a caller's bytes in order, in parts of any size.
#[derive(Debug)]
pub(crate) struct Scanner {
    state: State,
    line: Vec<u8>,
    line_limit: usize,
    heads: u64,
    head: Lengths,
}

#[derive(Clone, Copy, Debug)]
enum State {
    /// In the lines of a head.
    Head,
    /// This many bytes of a body are left.
    Body(u64),
    /// In the line with the size of a chunk.
    Size,
    /// This many bytes of a chunk and its line end are left.
    Chunk(u64),
    /// In the lines after the last chunk.
    Trailers,
    /// The framing does not hold; hyper refuses the request.
    Lost,
}

#[derive(Debug, Default)]
struct Lengths {
    begun: bool,
    count: u64,
    body: u64,
    chunked: bool,
}

impl Scanner {
    pub(crate) fn new(line_limit: usize) -> Self {
        Self {
            state: State::Head,
            line: Vec::new(),
            line_limit,
            heads: 0,
            head: Lengths::default(),
        }
    }

    /// Reads `bytes`; gives the number of the first head whose lengths contradict each other,
    /// counted from zero.
    pub(crate) fn read(&mut self, mut bytes: &[u8]) -> Option<u64> {
        while !bytes.is_empty() {
            match self.state {
                State::Body(left) => bytes = self.skip(bytes, left, State::Body, State::Head),
                State::Chunk(left) => bytes = self.skip(bytes, left, State::Chunk, State::Size),
                State::Head | State::Size | State::Trailers => {
                    let end = bytes.iter().position(|byte| *byte == b'\n');
                    let Some(end) = end else {
                        self.keep(bytes);
                        return None;
                    };
                    let (line, rest) = bytes.split_at(end + 1);
                    bytes = rest;
                    if self.whole_line(line) {
                        return Some(self.heads);
                    }
                }
                State::Lost => return None,
            }
        }
        None
    }

    fn skip<'a>(
        &mut self,
        bytes: &'a [u8],
        left: u64,
        state: fn(u64) -> State,
        next: State,
    ) -> &'a [u8] {
        let available = u64::try_from(bytes.len()).unwrap_or(u64::MAX);
        let left_after = left.saturating_sub(available);
        self.state = if left_after == 0 {
            next
        } else {
            state(left_after)
        };
        let taken = usize::try_from(left.min(available)).unwrap_or(bytes.len());
        &bytes[taken..]
    }

    fn keep(&mut self, bytes: &[u8]) {
        if self.line.len() + bytes.len() > self.line_limit {
            self.state = State::Lost;
        } else {
            self.line.extend_from_slice(bytes);
        }
    }

    /// Takes a line with its end; true if it ends a head whose lengths contradict each other.
    fn whole_line(&mut self, end: &[u8]) -> bool {
        if self.line.is_empty() {
            return self.line(trim(end));
        }
        let mut line = std::mem::take(&mut self.line);
        line.extend_from_slice(end);
        let conflict = self.line(trim(&line));
        line.clear();
        self.line = line;
        conflict
    }

    fn line(&mut self, line: &[u8]) -> bool {
        match self.state {
            State::Head if line.is_empty() => return self.head.begun && self.end_of_head(),
            State::Head => self.head.header(line),
            State::Size => {
                let size = line.split(|byte| *byte == b';').next().unwrap_or_default();
                self.state = match chunk_size(size) {
                    Some(0) => State::Trailers,
                    Some(size) => State::Chunk(size.saturating_add(2)),
                    None => State::Lost,
                };
            }
            State::Trailers if line.is_empty() => self.state = State::Head,
            State::Trailers | State::Body(_) | State::Chunk(_) | State::Lost => {}
        }
        false
    }

    fn end_of_head(&mut self) -> bool {
        let head = std::mem::take(&mut self.head);
        if head.count > 1 || (head.count > 0 && head.chunked) {
            self.state = State::Lost;
            return true;
        }
        self.heads += 1;
        if head.chunked {
            self.state = State::Size;
        } else if head.body > 0 {
            self.state = State::Body(head.body);
        }
        false
    }
}

impl Lengths {
    fn header(&mut self, line: &[u8]) {
        self.begun = true;
        if !matches!(line[0], b'c' | b'C' | b't' | b'T') {
            return;
        }
        let Some(colon) = line.iter().position(|byte| *byte == b':') else {
            return;
        };
        let (name, value) = line.split_at(colon);
        if name.eq_ignore_ascii_case(b"content-length") {
            let text = std::str::from_utf8(&value[1..]).unwrap_or_default();
            self.count += 1;
            self.body = text.trim().parse().unwrap_or(0);
        } else if name.eq_ignore_ascii_case(b"transfer-encoding") {
            self.chunked = true;
        }
    }
}

fn trim(line: &[u8]) -> &[u8] {
    let line = line.strip_suffix(b"\n").unwrap_or(line);
    line.strip_suffix(b"\r").unwrap_or(line)
}

fn chunk_size(digits: &[u8]) -> Option<u64> {
    let text = std::str::from_utf8(digits).ok()?;
    u64::from_str_radix(text.trim(), 16).ok()
}
