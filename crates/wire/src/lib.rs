//! Codecs for datagrams, objects and JSON-RPC payloads. No decisions are made here.
