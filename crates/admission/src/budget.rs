//! Divides the memory and descriptors for client connections between the HTTP/1.1 and the HTTP/2 front.

/// Fraction (numerator, denominator) of the clients' memory for the HTTP/2 front if it is enabled. An HTTP/2
/// connection can use as much memory as many HTTP/1.1 connections.
const HTTP2_MEMORY: (u64, u64) = (1, 2);
/// Fraction (numerator, denominator) of the clients' descriptors for the HTTP/2 front, which needs few.
const HTTP2_SOCKETS: (u64, u64) = (1, 4);
/// Memory of a stream in bytes, apart from its header list and its share of the connection's window: its task
/// and its entries in tables.
pub const STREAM_BYTES: u64 = 4 * 1024;
/// Memory of an HTTP/2 connection in bytes, apart from its streams: its tables for header compression and its
/// buffers in both directions.
pub const CONNECTION_BYTES: u64 = 64 * 1024;

/// Default for the maximum number of concurrent streams of a connection. RFC 9113, section 6.5.2, recommends
/// at least 100.
pub const DEFAULT_STREAMS: u32 = 200;
/// Default for the flow-control window of a connection in bytes. It has room for several request bodies of
/// maximum size.
pub const DEFAULT_CONNECTION_WINDOW: u32 = 512 * 1024;
/// Default for the maximum size of a header list in bytes.
pub const DEFAULT_HEADER_LIST: u32 = 8 * 1024;

/// Resources that the platform's configuration allows for client connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClientBudget {
    /// Maximum number of descriptors.
    pub sockets: u64,
    /// Maximum memory in bytes; `None` if only the number of descriptors is limited.
    pub memory: Option<u64>,
    /// Maximum memory of an HTTP/1.1 connection in bytes.
    pub http1_connection_bytes: u64,
}

/// The operator's settings for the HTTP/2 front. A value of `None` is derived from the budget or has a
/// default.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Http2Settings {
    /// Maximum number of connections.
    pub connections: Option<usize>,
    /// Maximum number of concurrent streams of a connection.
    pub streams: Option<u32>,
    /// Flow-control window of a connection in bytes.
    pub connection_window: Option<u32>,
    /// Maximum size of a header list in bytes.
    pub header_list: Option<u32>,
}

/// Limits of the HTTP/2 front.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Http2Limits {
    /// Maximum number of connections.
    pub connections: usize,
    /// Maximum number of concurrent streams of a connection.
    pub streams: u32,
    /// Flow-control window of a connection in bytes.
    pub connection_window: u32,
    /// Maximum size of a header list in bytes.
    pub header_list: u32,
}

impl Http2Limits {
    /// Maximum memory of a connection in bytes.
    pub fn connection_bytes(&self) -> u64 {
        u64::from(self.connection_window)
            + u64::from(self.streams) * (u64::from(self.header_list) + STREAM_BYTES)
            + CONNECTION_BYTES
    }
}

/// Limits of both fronts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FrontLimits {
    /// Maximum number of HTTP/1.1 connections.
    pub http1_connections: usize,
    /// Limits of the HTTP/2 front; `None` if it is disabled.
    pub http2: Option<Http2Limits>,
}

/// Returns the number of HTTP/1.1 connections that the memory allows beside the HTTP/2 front, regardless of
/// the number of descriptors.
pub fn max_http1_connections(budget: ClientBudget, fronts: &FrontLimits) -> u64 {
    let http2 = fronts.http2.map_or(0, |h| h.connections as u64 * h.connection_bytes());
    budget
        .memory
        .map_or(u64::MAX, |memory| memory.saturating_sub(http2) / budget.http1_connection_bytes.max(1))
}

/// Divides the budget between the fronts: HTTP/1.1 gets what HTTP/2 leaves. The error names the settings to
/// change.
pub fn divide(budget: ClientBudget, http2: Option<Http2Settings>) -> Result<FrontLimits, String> {
    let memory = budget.memory.unwrap_or(u64::MAX);
    let http1 =
        |sockets: u64, memory: u64| sockets.min(memory / budget.http1_connection_bytes.max(1)) as usize;
    let Some(settings) = http2 else {
        return Ok(FrontLimits { http1_connections: http1(budget.sockets, memory), http2: None });
    };
    let share = memory / HTTP2_MEMORY.1 * HTTP2_MEMORY.0;
    let sockets = (budget.sockets / HTTP2_SOCKETS.1 * HTTP2_SOCKETS.0).max(1);
    let mut limits = Http2Limits {
        connections: 0,
        streams: settings.streams.unwrap_or(DEFAULT_STREAMS),
        connection_window: settings.connection_window.unwrap_or(DEFAULT_CONNECTION_WINDOW),
        header_list: settings.header_list.unwrap_or(DEFAULT_HEADER_LIST),
    };
    let max_connections = (share / limits.connection_bytes()).min(sockets) as usize;
    limits.connections = settings.connections.unwrap_or(max_connections);
    if max_connections == 0 {
        return Err(format!(
            "an HTTP/2 connection may use {} bytes, but all of them together only {share}: lower \
             http2-streams, http2-header-list or http2-connection-window",
            limits.connection_bytes()
        ));
    }
    if limits.connections > max_connections {
        return Err(format!(
            "http2-connections {} do not fit: {max_connections} do, with {} bytes each of {share} \
             and {sockets} descriptors",
            limits.connections,
            limits.connection_bytes()
        ));
    }
    let used =
        if budget.memory.is_some() { limits.connections as u64 * limits.connection_bytes() } else { 0 };
    let http1_connections = http1(budget.sockets - limits.connections as u64, memory - used);
    Ok(FrontLimits { http1_connections, http2: Some(limits) })
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    const BUDGET: ClientBudget =
        ClientBudget { sockets: 600, memory: Some(115 << 20), http1_connection_bytes: 128 << 10 };

    #[test]
    fn without_http2_the_http1_front_gets_all_descriptors() {
        let fronts = divide(BUDGET, None).unwrap();
        assert_eq!(fronts, FrontLimits { http1_connections: 600, http2: None });
    }

    #[test]
    fn too_large_settings_are_rejected_with_a_value_that_fits() {
        let error =
            divide(BUDGET, Some(Http2Settings { connections: Some(100), ..Http2Settings::default() }))
                .unwrap_err();
        assert!(error.contains("http2-connections 100 do not fit: 19 do"), "{error}");
        let too_many_streams = Http2Settings { streams: Some(65_536), ..Http2Settings::default() };
        assert!(divide(BUDGET, Some(too_many_streams)).unwrap_err().contains("lower http2-streams"));
    }

    proptest! {
        /// For any budget and settings, both fronts at their limits stay within the budget.
        #[test]
        fn both_fronts_stay_within_the_budget(
            sockets in 4u64..5000, memory in prop::option::of(1u64 << 16..1 << 32),
            connections in prop::option::of(1usize..200), streams in prop::option::of(1u32..2000),
            window in prop::option::of(65_536u32..1 << 24), header_list in prop::option::of(1024u32..65_536),
        ) {
            let budget = ClientBudget { sockets, memory, http1_connection_bytes: 128 << 10 };
            let settings = Http2Settings { connections, streams, connection_window: window, header_list };
            if let Ok(FrontLimits { http1_connections, http2: Some(h2) }) = divide(budget, Some(settings)) {
                prop_assert!((http1_connections + h2.connections) as u64 <= sockets);
                prop_assert!(h2.connections >= 1);
                let used = http1_connections as u64 * budget.http1_connection_bytes
                    + h2.connections as u64 * h2.connection_bytes();
                prop_assert!(memory.is_none_or(|m| used <= m));
            }
        }
    }
}
