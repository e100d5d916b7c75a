/** The operators' HTTP port: metrics, status, explanations and the configuration. */
package org.mangowall.router.operator;
