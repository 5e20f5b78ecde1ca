//! The listener that gRPC clients ask for by name (gRPC proposal A27; `envoy/config/listener/v3/api_listener.proto`).

use crate::ads;
use envoy_types::pb::envoy::config::listener::v3::{ApiListener, Listener};
use envoy_types::pb::envoy::extensions::filters::http::router::v3::Router;
use envoy_types::pb::envoy::extensions::filters::network::http_connection_manager::v3::http_connection_manager::RouteSpecifier;
use envoy_types::pb::envoy::extensions::filters::network::http_connection_manager::v3::http_filter::ConfigType;
use envoy_types::pb::envoy::extensions::filters::network::http_connection_manager::v3::{
    HttpConnectionManager, HttpFilter, Rds,
};
use envoy_types::pb::google::protobuf::Any;
use prost::Message;

const MANAGER: &str =
    "type.googleapis.com/envoy.extensions.filters.network.http_connection_manager.v3.HttpConnectionManager";
const ROUTER: &str = "type.googleapis.com/envoy.extensions.filters.http.router.v3.Router";

/// A listener that is no socket: its routes come over the same stream, under the same name.
pub(crate) fn api(name: &str) -> Listener {
    let router = Any { type_url: ROUTER.to_owned(), value: Router::default().encode_to_vec() };
    let manager = HttpConnectionManager {
        route_specifier: Some(RouteSpecifier::Rds(Rds {
            config_source: Some(ads()),
            route_config_name: name.to_owned(),
        })),
        http_filters: vec![HttpFilter {
            name: "router".to_owned(),
            config_type: Some(ConfigType::TypedConfig(router)),
            ..HttpFilter::default()
        }],
        ..HttpConnectionManager::default()
    };
    let manager = Any { type_url: MANAGER.to_owned(), value: manager.encode_to_vec() };
    Listener {
        name: name.to_owned(),
        api_listener: Some(ApiListener { api_listener: Some(manager) }),
        ..Listener::default()
    }
}
