//! How much each front may hold.

/// Share of the clients' memory and descriptors that the HTTP/2 front gets where there is one: it needs few
/// descriptors, but a connection of it may hold as much as many of HTTP/1.1.
const HTTP2_MEMORY: (u64, u64) = (1, 2);
const HTTP2_SOCKETS: (u64, u64) = (1, 4);
/// What a stream holds beside its header list and its share of the connection's window: its task, its tables.
pub const STREAM_BYTES: u64 = 4 * 1024;
/// What a connection holds beside its streams: its tables for header compression, and buffers both ways.
pub const CONNECTION_BYTES: u64 = 64 * 1024;

/// Most streams of a connection, where the operator says nothing (RFC 9113, section 6.5.2, asks for 100 at least).
pub const DEFAULT_STREAMS: u32 = 200;
/// Window of a connection, likewise: several of the longest bodies.
pub const DEFAULT_CONNECTION_WINDOW: u32 = 512 * 1024;
/// Longest header list, likewise.
pub const DEFAULT_HEADER_LIST: u32 = 8 * 1024;

/// What the platform gives to clients' connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClientBudget {
    /// Most descriptors.
    pub sockets: u64,
    /// Most memory in bytes; `None`: as much as the descriptors ask for.
    pub memory: Option<u64>,
    /// What an HTTP/1.1 connection holds at the most, in bytes.
    pub http1_connection_bytes: u64,
}

/// What an operator asks of the HTTP/2 front; `None`: derived.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Http2Settings {
    /// Most connections.
    pub connections: Option<usize>,
    /// Most streams of a connection.
    pub streams: Option<u32>,
    /// Window of a connection, in bytes.
    pub connection_window: Option<u32>,
    /// Longest header list, in bytes.
    pub header_list: Option<u32>,
}

/// What the HTTP/2 front may hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Http2Limits {
    /// Most connections.
    pub connections: usize,
    /// Most streams of a connection.
    pub streams: u32,
    /// Window of a connection, in bytes.
    pub connection_window: u32,
    /// Longest header list, in bytes.
    pub header_list: u32,
}

impl Http2Limits {
    /// The most that a connection holds, in bytes.
    pub fn connection_bytes(&self) -> u64 {
        u64::from(self.connection_window)
            + u64::from(self.streams) * (u64::from(self.header_list) + STREAM_BYTES)
            + CONNECTION_BYTES
    }
}

/// What both fronts may hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FrontLimits {
    /// Most HTTP/1.1 connections.
    pub http1_connections: usize,
    /// The HTTP/2 front, if there is one.
    pub http2: Option<Http2Limits>,
}

/// The most HTTP/1.1 connections that the memory allows beside the HTTP/2 front, whatever descriptors there are.
pub fn max_http1_connections(given: ClientBudget, fronts: &FrontLimits) -> u64 {
    let http2 = fronts.http2.map_or(0, |h| h.connections as u64 * h.connection_bytes());
    given.memory.map_or(u64::MAX, |memory| memory.saturating_sub(http2) / given.http1_connection_bytes.max(1))
}

/// Divides what is given. The error says what to do about it.
pub fn divide(given: ClientBudget, http2: Option<Http2Settings>) -> Result<FrontLimits, String> {
    let memory = given.memory.unwrap_or(u64::MAX);
    let http1 =
        |sockets: u64, memory: u64| sockets.min(memory / given.http1_connection_bytes.max(1)) as usize;
    let Some(asked) = http2 else {
        return Ok(FrontLimits { http1_connections: http1(given.sockets, memory), http2: None });
    };
    let share = memory / HTTP2_MEMORY.1 * HTTP2_MEMORY.0;
    let sockets = (given.sockets / HTTP2_SOCKETS.1 * HTTP2_SOCKETS.0).max(1);
    let mut front = Http2Limits {
        connections: 0,
        streams: asked.streams.unwrap_or(DEFAULT_STREAMS),
        connection_window: asked.connection_window.unwrap_or(DEFAULT_CONNECTION_WINDOW),
        header_list: asked.header_list.unwrap_or(DEFAULT_HEADER_LIST),
    };
    let fit = (share / front.connection_bytes()).min(sockets) as usize;
    front.connections = asked.connections.unwrap_or(fit);
    if fit == 0 {
        return Err(format!(
            "a connection may hold {} bytes, but {share} are there for all: lower http2-streams, http2-header-list or \
             http2-connection-window",
            front.connection_bytes()
        ));
    }
    if front.connections > fit {
        return Err(format!(
            "http2-connections {} do not fit: {fit} do, with {} bytes each of {share} and {sockets} descriptors",
            front.connections,
            front.connection_bytes()
        ));
    }
    // What HTTP/2 leaves is HTTP/1.1's.
    let used = if given.memory.is_some() { front.connections as u64 * front.connection_bytes() } else { 0 };
    let http1_connections = http1(given.sockets - front.connections as u64, memory - used);
    Ok(FrontLimits { http1_connections, http2: Some(front) })
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    const GIVEN: ClientBudget =
        ClientBudget { sockets: 600, memory: Some(115 << 20), http1_connection_bytes: 128 << 10 };

    #[test]
    fn without_http2_all_is_left_to_http1() {
        let fronts = divide(GIVEN, None).unwrap();
        assert_eq!(fronts, FrontLimits { http1_connections: 600, http2: None });
    }

    #[test]
    fn what_does_not_fit_is_refused_with_the_figure_that_would() {
        let error = divide(GIVEN, Some(Http2Settings { connections: Some(100), ..Http2Settings::default() }))
            .unwrap_err();
        assert!(error.contains("http2-connections 100 do not fit: 19 do"), "{error}");
        let huge = Http2Settings { streams: Some(65_536), ..Http2Settings::default() };
        assert!(divide(GIVEN, Some(huge)).unwrap_err().contains("lower http2-streams"));
    }

    proptest! {
        /// Whatever is given and asked, both fronts at their fullest stay within what is given.
        #[test]
        fn both_fronts_fit(
            sockets in 4u64..5000, memory in prop::option::of(1u64 << 16..1 << 32),
            connections in prop::option::of(1usize..200), streams in prop::option::of(1u32..2000),
            window in prop::option::of(65_536u32..1 << 24), header_list in prop::option::of(1024u32..65_536),
        ) {
            let given = ClientBudget { sockets, memory, http1_connection_bytes: 128 << 10 };
            let asked = Http2Settings { connections, streams, connection_window: window, header_list };
            if let Ok(FrontLimits { http1_connections, http2: Some(h2) }) = divide(given, Some(asked)) {
                prop_assert!((http1_connections + h2.connections) as u64 <= sockets);
                prop_assert!(h2.connections >= 1);
                let holds = http1_connections as u64 * given.http1_connection_bytes + h2.connections as u64 * h2.connection_bytes();
                prop_assert!(memory.is_none_or(|m| holds <= m));
            }
        }
    }
}
