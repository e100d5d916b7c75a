/** Distribution of the configuration: a few routers watch the platform, all others fetch it from their peers. */
package org.mangowall.membership.configuration;
