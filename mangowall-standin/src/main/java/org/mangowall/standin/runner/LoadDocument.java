package org.mangowall.standin.runner;

import com.fasterxml.jackson.annotation.JsonProperty;

/** A load report in the JSON format of the runner protocol. */
record LoadDocument(@JsonProperty("started_at_millis") long startedAtMillis, int running, long completed) {}
