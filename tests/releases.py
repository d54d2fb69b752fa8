"""What earlier releases write: one message of each type, with every field set, and store records."""

# Messages by the commit of the release, as they are on the wire.
MESSAGES_BY_RELEASE = {
    "d3b86e1": """
{"engine":"engine","model":"model","adapter":"adapter","version":3,"priority":3,"absent":true,"waited_s":1.5,"type":"Ask"}
{"engine":"engine","held":{"key":3},"coming":{"key":1.5},"running":3,"prefill_tokens":3,"room":3,"type":"View"}
{"engine":"engine","running":{"key":3},"used":["used"],"prefill_tokens":3,"answered":["answered"],"type":"Use"}
{"engine":"engine","type":"NotLead"}
{"content":"content","endpoint":"endpoint","type":"Crashed"}
{"kind":"kind","revision":3,"type":"News"}
{"caller_id":"caller_id","attempt":3,"software":"software","service":"service","type":"StreamBegan"}
{"caller_id":"caller_id","type":"AskStreamOrigin"}
""",
    "cebad26": """
{"engine":"engine","model":"model","adapter":"adapter","version":3,"priority":3,"absent":true,"waited_s":1.5,"type":"Ask"}
{"engine":"engine","held":{"key":3},"coming":{"key":1.5},"running":3,"prefill_tokens":3,"room":3,"type":"View"}
{"engine":"engine","running":{"key":3},"used":["used"],"prefill_tokens":3,"answered":["answered"],"type":"Use"}
{"engine":"engine","type":"NotLead"}
{"content":"content","endpoint":"endpoint","incarnation":3,"parts":["parts"],"has_begun":true,"has_delivered":true,"age_s":1.5,"sound_ages_s":{"key":1.5},"type":"Crashed"}
{"crashes":[{"content":"content","endpoint":"endpoint","incarnation":3,"parts":["parts"],"has_begun":true,"has_delivered":true,"age_s":1.5,"sound_ages_s":{"key":1.5}}],"type":"CrashEvidence"}
{"type":"AskCrashes"}
{"ages_s":{"key":1.5},"type":"PartsSound"}
{"endpoint":"endpoint","incarnation":3,"requests_per_s":1.5,"type":"RequestLimit"}
{"endpoint":"endpoint","incarnation":3,"type":"EndpointLeaving"}
{"kind":"kind","revision":3,"type":"News"}
{"caller_id":"caller_id","attempt":3,"software":"software","service":"service","type":"StreamBegan"}
{"caller_id":"caller_id","type":"AskStreamOrigin"}
""",
    "b183ee2": """
{"engine":"engine","model":"model","adapter":"adapter","version":3,"priority":3,"absent":true,"waited_s":1.5,"type":"Ask"}
{"engine":"engine","held":{"key":3},"coming":{"key":1.5},"running":3,"prefill_tokens":3,"room":3,"is_known":true,"type":"View"}
{"engine":"engine","running":{"key":3},"used":["used"],"prefill_tokens":3,"answered":["answered"],"type":"Use"}
{"engine":"engine","type":"NotLead"}
{"content":"content","endpoint":"endpoint","incarnation":3,"parts":["parts"],"has_begun":true,"has_delivered":true,"age_s":1.5,"sound_ages_s":{"key":1.5},"type":"Crashed"}
{"crashes":[{"content":"content","endpoint":"endpoint","incarnation":3,"parts":["parts"],"has_begun":true,"has_delivered":true,"age_s":1.5,"sound_ages_s":{"key":1.5}}],"type":"CrashEvidence"}
{"type":"AskCrashes"}
{"ages_s":{"key":1.5},"type":"PartsSound"}
{"endpoint":"endpoint","incarnation":3,"requests_per_s":1.5,"type":"RequestLimit"}
{"endpoint":"endpoint","incarnation":3,"type":"EndpointLeaving"}
{"is_lost":true,"type":"LinksChanged"}
{"endpoint":"endpoint","incarnation":3,"bears_per_s":1.5,"type":"NoRoom"}
{"kind":"kind","revision":3,"type":"News"}
{"caller_id":"caller_id","attempt":3,"software":"software","service":"service","type":"StreamBegan"}
{"caller_id":"caller_id","type":"AskStreamOrigin"}
""",
    # What this release has added.
    "unreleased": """
{"kind":"kind","revision":3,"generation":3,"type":"News"}
{"caller_id":"caller_id","type":"StreamUnknown"}
{"service":"service","version":"version","type":"SoftwareRecorded"}
{"endpoint":"endpoint","incarnation":3,"bears_per_s":1.5,"age_s":1.5,"count":3,"type":"PlacesWanted"}
{"endpoint":"endpoint","incarnation":3,"count":3,"type":"Places"}
{"engine":"engine","model":"model","adapter":"adapter","type":"AskWithdrawn"}
{"team":"team","number":3,"tokens":[1.5],"priorities":[3],"attempt":3,"returned":1.5,"type":"QuotaAsk"}
{"team":"team","number":3,"attempt":3,"tokens":1.5,"valid_s":1.5,"retry_after_s":1.5,"is_keeper":true,"ahead":1.5,"ahead_valid_s":1.5,"other":"other","type":"QuotaGrant"}
{"team":"team","level":1.5,"granted":[[1.5,1.5]],"type":"QuotaHandover"}
{"team":"team","type":"QuotaClaim"}
{"type":"QuotaProbe"}
{"is_listed":true,"type":"QuotaEcho"}
""",
}
ENTRY_RECORDS_BY_RELEASE = {
    "d3b86e1": {"host": "10.0.0.1", "port": 7000, "zone": "north-a"},
    "cebad26": {"host": "10.0.0.1", "port": 7000, "zone": "north-a"},
    "b183ee2": {"host": "10.0.0.1", "port": 7000, "zone": "north-a", "relay_port": 9000},
    "unreleased": {"host": "10.0.0.1", "port": 7000, "zone": "north-a", "relay_port": 9000},
}
LEAD_RECORDS_BY_RELEASE = dict.fromkeys(MESSAGES_BY_RELEASE, {"holder": "entry-1#b1", "epoch": 4})
